"""Two-level fan-out: queries over slices, whose owners alone connect to the replicas.

A slice is a range of the shards of a service. A hop is one request to an owner of a slice: for the
snapshots that the owner can reach, or to run the query on all shards of the slice.
"""

from __future__ import annotations

import itertools
import queue
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from returns.result import Failure, Result, Success
from werkzeug.wrappers import Request, Response

from rhubarbway.decisions.merging import coverage_detail, merge_shard_answers
from rhubarbway.decisions.slices import Slice, service_slices, slice_owners, slice_plan
from rhubarbway.decisions.snapshots import newest_with_highest_weight, reachable_weights
from rhubarbway.edge import slice_wire, wire
from rhubarbway.edge.http_client import CallError
from rhubarbway.kernel import Kernel
from rhubarbway.model import (
    Answer,
    EntryHost,
    ExecutionStatus,
    FailureKind,
    HostIdentity,
    JobPrefix,
    Manifest,
    MissReason,
    Query,
    Service,
    ShardAnswer,
)
from rhubarbway.model import Failure as RequestFailure
from rhubarbway.services.backends import states_by_shard
from rhubarbway.services.frontend import JSON_CONTENT_TYPE, failure_response
from rhubarbway.services.manifest import ManifestService
from rhubarbway.services.names import FRONTEND, MANIFEST, QUERIES
from rhubarbway.services.peer_connections import PeerConnections
from rhubarbway.services.queries import QueryService

MAX_CONCURRENT_HOPS = 256
# The owner of a slice replies this long before the deadline, so that the reply arrives in time.
HOP_REPLY_MARGIN_S = 0.02

Ask = Callable[[EntryHost, slice_wire.SliceBody], slice_wire.SliceReply]


class HopOutcome:
    """Outcome of the hop to one slice; ``reply`` is None if no owner replied."""

    __slots__ = ("slice_", "ran", "reply")

    def __init__(
        self, *, slice_: Slice, ran: ExecutionStatus, reply: slice_wire.SliceReply | None
    ) -> None:
        self.slice_ = slice_
        self.ran = ran
        self.reply = reply


class SlicedRun:
    """One query over all slices of a service; it runs in the task of the caller's connection."""

    __slots__ = (
        "answers",
        "attempts",
        "hedges",
        "latencies",
        "miss_reasons",
        "prefix",
        "query",
        "ran",
        "retries",
        "service",
        "slice_service",
        "snapshot",
    )

    def __init__(
        self, *, query: Query, prefix: JobPrefix, service: Service, slice_service: SliceService
    ) -> None:
        self.query = query
        self.prefix = prefix
        self.service = service
        self.slice_service = slice_service
        self.answers: dict[int, ShardAnswer] = {}
        self.miss_reasons: dict[int, MissReason] = {}
        self.latencies: list[float] = []
        # A reply to a hop states only the total of attempts, so hedges and retries stay 0.
        self.attempts = 0
        self.hedges = 0
        self.retries = 0
        self.ran = ExecutionStatus.NOT_RUN
        self.snapshot: str | None = None

    def run(self, *, required_coverage: float) -> Result[Answer, RequestFailure]:
        """Choose one snapshot for all slices, query their owners, and merge their replies."""
        slices = service_slices(self.service)
        self.snapshot = self.choose_snapshot(slices)
        if self.snapshot is not None:
            for outcome in self.run_hops(slices, self.snapshot):
                self.merge_outcome(outcome)
        merged = merge_shard_answers(
            query=self.query,
            prefix=self.prefix,
            service=self.service,
            snapshot=self.snapshot,
            answers=self.answers,
            miss_reasons=self.miss_reasons,
            attempts=self.attempts,
        )
        fraction = merged.coverage.fraction
        if self.answers and fraction >= required_coverage:
            return Success(merged)
        kind = FailureKind.COVERAGE_TOO_LOW if self.answers else FailureKind.NO_REPLICA
        detail = coverage_detail(self.service, fraction, required_coverage)
        return Failure(RequestFailure(kind=kind, ran=self.ran, detail=detail))

    def choose_snapshot(self, slices: list[Slice]) -> str | None:
        """Ask the owners which snapshots they can reach; return the best one, or None.

        The best one is reachable in the slices with the most shards in total; the newest among
        equals. A slice counts with all its shards if one of them reaches the snapshot.
        """
        reachable: dict[str, float] = {}
        for outcome in self.run_hops(slices, None):
            for name in outcome.reply.snapshots if outcome.reply else ():
                size = outcome.slice_.last - outcome.slice_.first + 1
                reachable[name] = reachable.get(name, 0.0) + size
        return newest_with_highest_weight(reachable)

    def run_hops(self, slices: list[Slice], snapshot: str | None) -> list[HopOutcome]:
        """Run one hop to each slice, each in a task of its own.

        Returns the outcomes that arrive before the deadline. Without a snapshot the hops ask for
        the reachable snapshots, else they run the query on the snapshot.
        """
        inbox: queue.SimpleQueue[HopOutcome] = queue.SimpleQueue()
        for slice_ in slices:
            self.slice_service.executor.submit(
                lambda slice_=slice_: inbox.put(
                    self.slice_service.run_hop(self.query, self.service, slice_, snapshot)
                )
            )
        outcomes: list[HopOutcome] = []
        while len(outcomes) < len(slices):
            try:
                remaining_s = max(0.0, self.query.deadline - time.monotonic())
                outcomes.append(inbox.get(timeout=remaining_s))
            except queue.Empty:
                if snapshot is not None:
                    self.record_ran(ExecutionStatus.UNKNOWN)
                break
        return outcomes

    def merge_outcome(self, outcome: HopOutcome) -> None:
        """Merge the shard answers of one slice."""
        self.record_ran(outcome.ran)
        if outcome.reply is None:
            for shard in range(outcome.slice_.first, outcome.slice_.last + 1):
                self.miss_reasons[shard] = MissReason.NO_REPLICA
            return
        self.answers |= outcome.reply.answers
        self.miss_reasons |= outcome.reply.miss_reasons
        self.attempts += outcome.reply.attempts

    def record_ran(self, ran: ExecutionStatus) -> None:
        """Combine the execution status of one hop with that of the other hops."""
        if ran is ExecutionStatus.RUN or self.ran is ExecutionStatus.NOT_RUN:
            self.ran = ran


class SliceService:
    """Owns the tasks that run hops, and answers hops to the slices of this entry host."""

    __slots__ = ("peer_connections", "hop_counter", "executor", "identity", "manifest", "queries")

    def __init__(self, *, identity: HostIdentity) -> None:
        self.identity = identity
        self.hop_counter = itertools.count(1)
        self.peer_connections = PeerConnections()
        self.executor = ThreadPoolExecutor(MAX_CONCURRENT_HOPS, thread_name_prefix="hop")
        self.manifest: ManifestService
        self.queries: QueryService

    def start(self, kernel: Kernel) -> None:
        """Add the route that answers hops."""
        self.manifest = kernel.find(MANIFEST)
        self.queries = kernel.find(QUERIES)
        kernel.find(FRONTEND).add_route("POST", "/v1/peer/slice", self.answer_hop)

    def stop(self) -> None:
        """End the tasks and close the connections to other entry hosts."""
        self.executor.shutdown(wait=True, cancel_futures=True)
        self.peer_connections.retain_addresses(set())

    def create_run(self, query: Query, prefix: JobPrefix, service: Service) -> SlicedRun:
        """Return a new run of a query over all slices of a service."""
        return SlicedRun(query=query, prefix=prefix, service=service, slice_service=self)

    def run_hop(
        self, query: Query, service: Service, slice_: Slice, snapshot: str | None
    ) -> HopOutcome:
        """Ask the owners of a slice in order until one replies.

        An unsafe query is sent to the next owner only if it is proven that the owners before have
        not run it. A hop that fails after it was sent counts as possibly run, even if it only asked
        for snapshots.
        """
        manifest = self.manifest.in_force
        ran = ExecutionStatus.NOT_RUN
        for owner in slice_owners(slice_, manifest.entry_hosts, slice_plan(manifest)):
            body = slice_wire.slice_body_from_query(
                query,
                hop=f"{self.identity.name}/{self.identity.incarnation}/{next(self.hop_counter)}",
                service=service.name,
                layout=service.layout,
                first=slice_.first,
                last=slice_.last,
                snapshot=snapshot,
            )
            try:
                reply = self.send_hop(owner, body, deadline=query.deadline)
                return HopOutcome(slice_=slice_, ran=reply.ran, reply=reply)
            except CallError as error:
                ran = ExecutionStatus.UNKNOWN if error.sent else ran
            except wire.MessageError:
                ran = ExecutionStatus.UNKNOWN
            if query.unsafe and ran is not ExecutionStatus.NOT_RUN:
                break
        return HopOutcome(slice_=slice_, ran=ran, reply=None)

    def send_hop(
        self, owner: EntryHost, body: slice_wire.SliceBody, *, deadline: float
    ) -> slice_wire.SliceReply:
        """Send one hop to the owner of a slice and return the reply.

        Raises
        ------
        CallError
            If no complete response arrived.
        MessageError
            If the response is not a valid reply to the hop.
        """
        connection = self.peer_connections.acquire(owner.address)
        reply = connection.call(
            "POST",
            "/v1/peer/slice",
            slice_wire.request_to_json(body),
            timeout_s=max(0.001, deadline - time.monotonic()),
        )
        try:
            if reply.status != 200:
                raise wire.MessageError(
                    f"status {reply.status} from owner {owner.name}, expected 200"
                )
            decoded = slice_wire.reply_from_json(reply.body, request=body, owner=owner.name)
        except wire.MessageError:
            # The reply may belong to an earlier hop, and the one to this hop may follow.
            connection.close()
            raise
        self.peer_connections.release(connection)
        return decoded

    def answer_hop(self, request: Request) -> Response:
        """Run a query on the shards of one slice for another entry host.

        Without a snapshot in the request, reply with the reachable snapshots and run nothing.
        """
        try:
            body = slice_wire.request_from_json(request.get_data())
            service = service_for_hop(self.manifest.in_force, body)
        except wire.MessageError as error:
            failure = RequestFailure(
                kind=FailureKind.BAD_REQUEST, ran=ExecutionStatus.NOT_RUN, detail=str(error)
            )
            return failure_response(failure, request_id=None)
        states = states_by_shard(self.queries.backends.pools_by_shard(service))
        weights = reachable_weights(service, states, now=time.monotonic())
        snapshots = sorted(weights)
        if body.snapshot is None:
            empty = slice_wire.reply_to_json(
                body.hop, snapshots=snapshots, answer=None, ran=ExecutionStatus.NOT_RUN, attempts=0
            )
            return Response(empty, content_type=JSON_CONTENT_TYPE)
        query = slice_wire.query_from_slice_body(body)
        query.deadline -= HOP_REPLY_MARGIN_S
        result, run = self.queries.run_slice(query, service, snapshot=body.snapshot)
        answer = result.unwrap() if isinstance(result, Success) else None
        encoded = slice_wire.reply_to_json(
            body.hop, snapshots=snapshots, answer=answer, ran=run.ran, attempts=run.attempts
        )
        return Response(encoded, content_type=JSON_CONTENT_TYPE)


def service_for_hop(manifest: Manifest | None, body: slice_wire.SliceBody) -> Service:
    """Return a copy of a service that has only the shards named by a hop.

    Raises
    ------
    MessageError
        If the manifest in force does not contain the service, the layout or the shards.
    """
    service = manifest.services.get(body.service) if manifest is not None else None
    if service is None or service.layout != body.layout:
        raise wire.MessageError(f"no service {body.service!r} in layout {body.layout!r}")
    shards = service.shards[max(0, body.first) : body.last + 1]
    if not shards or body.last >= len(service.shards):
        raise wire.MessageError(f"no shards {body.first} to {body.last}")
    return Service(
        name=service.name,
        tenant=service.tenant,
        layout=service.layout,
        value=service.value,
        shards=shards,
    )
