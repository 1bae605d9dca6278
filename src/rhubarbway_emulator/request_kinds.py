"""Kinds of requests in the load patterns."""

from __future__ import annotations


class RequestKind:
    """One kind of request.

    Attributes
    ----------
    target_latency_s, deadline_s : float
        Latency up to which an answer has full value, and time after which the caller gives up.
    service_time_s, sigma : float
        Mean service time at a server, and the standard deviation of its logarithm.
    requests_per_s : float
        Request rate over all hosts.
    min_coverage : float
        Minimum share of the shards in an answer.
    late_value : float
        Value of a complete late answer; a complete answer in time has the value 1.
    is_fan_out : bool
        Whether a request goes to all shards, rather than to one replica of the service without
        shards.
    priority : int
        Priority of the route; 0 is the highest.
    worth : float
        Weight of the kind in the value of all requests.
    returns : bool
        Whether callers come back once after a refusal, at the instant that it names.
    """

    __slots__ = (
        "deadline_s",
        "is_fan_out",
        "late_value",
        "min_coverage",
        "name",
        "priority",
        "requests_per_s",
        "returns",
        "service_time_s",
        "sigma",
        "target_latency_s",
        "worth",
    )

    def __init__(
        self,
        *,
        name: str,
        target_latency_s: float,
        deadline_s: float,
        service_time_s: float,
        requests_per_s: float,
        min_coverage: float,
        sigma: float = 0.35,
        late_value: float = 0.1,
        is_fan_out: bool = True,
        priority: int = 0,
        worth: float = 1.0,
        returns: bool = False,
    ) -> None:
        self.priority = priority
        self.worth = worth
        self.returns = returns
        self.name = name
        self.is_fan_out = is_fan_out
        self.target_latency_s = target_latency_s
        self.deadline_s = deadline_s
        self.service_time_s = service_time_s
        self.requests_per_s = requests_per_s
        self.min_coverage = min_coverage
        self.sigma = sigma
        self.late_value = late_value


# Requests to the default deployment: frequent ones with a long target latency, rare ones with a
# short one.
SWEEP = RequestKind(
    name="sweep",
    target_latency_s=0.233,
    deadline_s=0.8,
    service_time_s=0.03,
    requests_per_s=68.0,
    min_coverage=0.89,
)
ALERT = RequestKind(
    name="alert",
    target_latency_s=0.091,
    deadline_s=0.4,
    service_time_s=0.01,
    requests_per_s=22.0,
    min_coverage=0.75,
)
# The same kinds with the parameters of ``WIDE_DEPLOYMENT``; results name them alike.
WIDE_SWEEP = RequestKind(
    name="sweep",
    target_latency_s=0.238,
    deadline_s=0.82,
    service_time_s=0.03,
    requests_per_s=42.0,
    min_coverage=0.95,
)
WIDE_ALERT = RequestKind(
    name="alert",
    target_latency_s=0.095,
    deadline_s=0.42,
    service_time_s=0.01,
    requests_per_s=14.0,
    min_coverage=0.85,
)
# The same kinds with the parameters of ``LARGE_DEPLOYMENT``.
LARGE_SWEEP = RequestKind(
    name="sweep",
    target_latency_s=0.238,
    deadline_s=0.816,
    service_time_s=0.03,
    requests_per_s=37.7,
    min_coverage=0.95,
)
LARGE_ALERT = RequestKind(
    name="alert",
    target_latency_s=0.0949,
    deadline_s=0.416,
    service_time_s=0.01,
    requests_per_s=12.6,
    min_coverage=0.85,
)

# Requests to 70 hosts: sweeps, and urgent lookups on the same servers.
UNEVEN_SWEEP = RequestKind(
    name="sweep",
    target_latency_s=0.284,
    deadline_s=2.51,
    service_time_s=0.03,
    requests_per_s=31.5,
    min_coverage=0.95,
    late_value=0.05,
)
UNEVEN_LOOKUP = RequestKind(
    name="lookup",
    target_latency_s=0.092,
    deadline_s=1.011,
    service_time_s=0.01,
    requests_per_s=18.2,
    min_coverage=0.85,
    late_value=0.04,
)
# Requests to 106 hosts, whose servers share their machines with other programs.
SHARED_SWEEP = RequestKind(
    name="sweep",
    target_latency_s=0.135,
    deadline_s=0.409,
    service_time_s=0.0112,
    requests_per_s=39.6,
    min_coverage=0.95,
)
SHARED_PEEK = RequestKind(
    name="peek",
    target_latency_s=0.0456,
    deadline_s=0.258,
    service_time_s=0.00375,
    requests_per_s=13.2,
    min_coverage=0.85,
)
SHARED_CARD = RequestKind(
    name="card",
    target_latency_s=0.254,
    deadline_s=1.523,
    service_time_s=0.06,
    requests_per_s=13.2,
    min_coverage=1.0,
    late_value=0.3,
    is_fan_out=False,
)
# Two kinds that compete for the servers of ``PRIORITY_DEPLOYMENT``: wide searches, and urgent
# lookups with a third of their target latency.
CATALOGUE_SWEEP = RequestKind(
    name="sweep",
    target_latency_s=0.284,
    deadline_s=2.51,
    service_time_s=0.03,
    requests_per_s=31.5,
    min_coverage=0.95,
    late_value=0.05,
    priority=1,
    worth=1.8,
    returns=True,
)
PRESS_LOOKUP = RequestKind(
    name="lookup",
    target_latency_s=0.0922,
    deadline_s=1.011,
    service_time_s=0.0101,
    requests_per_s=18.2,
    min_coverage=0.85,
    late_value=0.04,
    priority=0,
    worth=1.7,
    returns=True,
)
