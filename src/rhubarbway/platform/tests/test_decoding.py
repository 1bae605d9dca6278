"""Tests of decoding valid and invalid messages of the platform, and of encoding replies."""

import json

import h11
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Failure, Success

from rhubarbway.edge.http_client import Reply
from rhubarbway.model import BackendServer, ExecutionStatus, ForwardedAnswer, ForwardedRequest
from rhubarbway.platform.callers import request_from_http, response_to_http
from rhubarbway.platform.configuration import routing_table_from_json
from rhubarbway.platform.registry_entries import server_from_entry
from rhubarbway.platform.replicas import (
    notice_from_http,
    reply_from_http,
    request_header_lines,
)
from rhubarbway.platform.store import EVENTS_DECODER, StoreError, decode_body, item_from_wire

ROUTE = {
    "name": "r",
    "host": "desk.example",
    "pathPrefix": "/a/",
    "routeType": "safe",
    "timeoutMs": 400,
    "targetLatencyMs": 91,
    "service": "board",
    "maxAttempts": 2,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 262144,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}
ENTRY = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "z",
    "slots": 3,
    "state": "ready",
    "version": "v1",
    "sequence": 1,
    "warmupLeftMs": 0,
    "born": 7,
}


# The characters of ``st.text()``, which are those that UTF-8 can encode. Its default alphabet is
# found by encoding every character, which takes over 2 s if Hypothesis has not stored the result.
CHARACTERS = st.characters(exclude_categories=["Cs"])
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(CHARACTERS, max_size=20)
    | st.sampled_from(["10.0.0.9:80", "ready", 10**400, 1e308, -1]),
    lambda children: st.lists(children, max_size=3)
    | st.dictionaries(st.text(CHARACTERS, max_size=3), children, max_size=3),
    max_leaves=5,
)


def document(*routes, **changes):
    return msgspec.json.encode(
        {"version": 7, "routes": routes, "services": [], "limits": LIMITS} | changes
    )


class TestConfiguration:
    def test_times_are_seconds_and_unknown_fields_are_ignored(self):
        """Guards against unconverted milliseconds and the rejection of later versions' fields."""
        table = routing_table_from_json(document(ROUTE | {"colour": "red"})).unwrap()
        (route,) = table.routes
        assert (table.version, route.timeout_s, route.target_latency_s) == (7, 0.4, 0.091)
        assert (route.idempotent, route.services) == (True, ("board",))

    @pytest.mark.parametrize(
        ("change", "problem"),
        [
            ({"service": None}, "exactly one"),
            ({"gather": ["a", "b"], "topK": 5}, "exactly one"),
            ({"service": None, "gather": ["a", "a"], "topK": 5}, "twice"),
            ({"service": None, "gather": ["a", "b"]}, "topK"),
            ({"routeType": "later"}, "routeType"),
            ({"timeoutMs": 0}, "timeoutMs"),
            ({"maxAttempts": "two"}, "maxAttempts"),
            (
                {"service": None, "trafficSplit": [{"service": "a", "weight": 0}]},
                "no part with a weight",
            ),
        ],
    )
    def test_findings_state_the_problem(self, change, problem):
        """Guards against invalid routes that are accepted or reported without their cause."""
        result = routing_table_from_json(document(ROUTE | change))
        assert isinstance(result, Failure)
        assert any(problem in str(finding) for finding in result.failure())

    @pytest.mark.parametrize(
        "change",
        [
            {"version": 10**400},
            {"version": -1},
            {"services": [{"name": "a", "maxConnections": 10**400}]},
            {"limits": LIMITS | {"idleTimeoutMs": 1e300}},
            {"extra": 10**400},
        ],
    )
    def test_a_number_out_of_range_is_a_finding(self, change):
        """Guards against numbers on which the arithmetic of limits fails, once in force."""
        data = json.dumps(json.loads(document(ROUTE)) | change).encode()
        result = routing_table_from_json(data)
        assert isinstance(result, Success if "extra" in change else Failure)

    @pytest.mark.parametrize("data", [b"", b"[]", b"\xff\x00", b"{" * 5000, b'{"version": 1}'])
    def test_bytes_that_are_not_a_configuration_are_rejected(self, data):
        """Guards against malformed documents that raise an exception."""
        assert isinstance(routing_table_from_json(data), Failure)


class TestEntries:
    def test_an_entry_describes_a_server(self):
        """Guards against a valid entry that is rejected or misread."""
        server = server_from_entry("servers/i-1", msgspec.json.encode(ENTRY)).unwrap()
        assert (server.id, server.service, server.started_ms) == ("i-1", "desk", 7)

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "asleep"},
            {"state": 5},
            {"address": "desk.example:80"},
            {"slots": 0},
            {"slots": "3"},
            {"service": ""},
            {"service": "s" * 1000},
            {"born": "yesterday"},
            {"born": 10**400},
            {"born": -1},
            {"born": 0.5},
            {"address": "10.0.0.9:0"},
            {"address": "10.0.0.9:99999"},
            {"address": "10.0.0.9:+80"},
            {"address": "999.1.1.1.5:80"},
            {"address": "10.0.0.256:80"},
            {"address": "10.0.0.9"},
            {"slots": 9 * 10**18},
            {"warmupLeftMs": 1e300},
            {"warmupLeftMs": -1},
            {"version": 1},
            {"sequence": "1"},
        ],
    )
    def test_an_invalid_entry_is_rejected(self, change):
        """Guards against an invalid value that becomes a server or raises an exception."""
        data = json.dumps(ENTRY | change).encode()
        assert isinstance(server_from_entry("servers/i-1", data), Failure)

    @pytest.mark.parametrize("server_id", ["", "i 1", "i\r\nX: 1", "i\u00e9", "i" * 300])
    def test_an_id_that_no_header_can_carry_is_rejected(self, server_id):
        """Guards against a server that every request to it fails to name."""
        result = server_from_entry(f"servers/{server_id}", msgspec.json.encode(ENTRY))
        assert isinstance(result, Failure)

    def test_a_deeply_nested_entry_is_rejected(self):
        """Guards against an entry that ends the task which follows the store (other operators)."""
        data = b'{"extra": ' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        assert isinstance(server_from_entry("servers/i-1", data), Failure)

    @given(change=st.dictionaries(st.sampled_from([*ENTRY, "extra"]), JSON_VALUES, max_size=4))
    def test_any_entry_is_a_usable_server_or_a_finding(self, change):
        """Guards against an exception, and values that arithmetic on servers cannot handle."""
        data = json.dumps(ENTRY | change).encode()
        result = server_from_entry("servers/i-1", data)
        if isinstance(result, Success):
            server = result.unwrap()
            host, port = server.address.split(":")
            assert len(host.split(".")) == 4 and 0 < int(port) < 65_536
            assert 0 < server.slots < 10**6 and 0 <= server.warm_up_s < 10**6
            assert isinstance(server.incarnation, tuple)

    def test_the_platforms_example_of_an_entry_is_a_server(self):
        """Guards against a required field that replicas may not write, such as ``born``."""
        data = (
            b'{"service":"huvo11a","address":"10.128.0.9:8080","zone":"cta-port","version":"v1",'
            b'"slots":3,"state":"ready","warmupLeftMs":0,"sequence":4}'
        )
        assert server_from_entry("servers/i-7f3a91c2", data).unwrap().started_ms == 0

    @pytest.mark.parametrize("field", [name for name in ENTRY if name != "born"])
    def test_an_entry_without_a_required_field_is_rejected(self, field):
        """Guards against a default in place of a missing field."""
        entry = {key: value for key, value in ENTRY.items() if key != field}
        assert isinstance(server_from_entry("servers/i-1", msgspec.json.encode(entry)), Failure)


class TestStore:
    def test_a_value_that_is_no_base64_counts_as_empty(self):
        """Guards against one invalid value that makes the whole page of events unusable."""
        page = decode_body(
            EVENTS_DECODER, b'{"atRev": 3, "events": [{"key": "a", "value": "*", "revision": 3}]}'
        )
        assert item_from_wire(page.events[0]).value == b""

    @pytest.mark.parametrize("body", [b"", b"nothing", b'{"events": []}', b'{"atRev": "x"}'])
    def test_a_malformed_body_is_a_store_error(self, body):
        """Guards against a malformed body that ends the reading task with another exception."""
        with pytest.raises(StoreError):
            decode_body(EVENTS_DECODER, body)


def head(*headers):
    return h11.Request(
        method="GET", target="/a/b?c=1", headers=[("Host", "desk.example"), *headers]
    )


class TestCallers:
    def test_hop_by_hop_headers_are_not_forwarded(self):
        """Guards against forwarding the caller's connection headers, or those the gateway sets."""
        request = request_from_http(
            head(
                ("X-Request-Id", "q"),
                ("X-Deadline-Ms", "250"),
                ("Connection", "X-Hop"),
                ("X-Hop", "1"),
                ("Accept", "*/*"),
            ),
            b"",
            received_at=10.0,
        ).unwrap()
        assert request.headers == (("accept", "*/*"),)
        assert (request.target, request.path, request.deadline) == ("/a/b?c=1", "/a/b", 10.25)

    def test_headers_between_entry_hosts_go_no_further(self):
        """Guards against a delegate that passes them to servers, or a caller that sets them."""
        request = request_from_http(
            head(
                ("X-Request-Id", "q"),
                ("X-Rhubarbway-Version", "7"),
                ("X-Rhubarbway-Elapsed-Ms", "12"),
                ("Expect", "100-continue"),
            ),
            b"",
            received_at=10.0,
        ).unwrap()
        assert request.headers == ()

    @pytest.mark.parametrize(
        "headers",
        [
            (),
            (("X-Request-Id", "q" * 300),),
            (("X-Request-Id", "q"), ("X-Deadline-Ms", "soon")),
            (("X-Request-Id", "q"), ("X-Deadline-Ms", "-5")),
        ],
    )
    def test_a_request_with_invalid_headers_is_rejected(self, headers):
        """Guards against a request that is forwarded without a valid id or deadline."""
        assert isinstance(request_from_http(head(*headers), b"", received_at=0.0), Failure)

    def test_a_merged_answer_carries_its_signatures(self):
        """Guards against a merged answer that the caller cannot verify."""
        answer = ForwardedAnswer(
            status=200, body=b"r" * 16, signatures=("p", "q"), missing_shards=1
        )
        response = response_to_http(answer, request_id="q")
        assert response.headers["X-Part-Stamps"] == "p, q"
        assert response.headers["X-Missing-Shards"] == "1"

    def test_a_refusal_carries_a_retry_time(self):
        """Guards against a retry time that is lost or rounded to whole seconds."""
        answer = ForwardedAnswer(status=503, retry_after_s=0.15, detail="later")
        assert response_to_http(answer, request_id="q").headers["Retry-After"] == "0.150"


class TestReplicas:
    REQUEST = ForwardedRequest(
        request_id="q", method="GET", target="/a", host="h", received_at=0.0, deadline=1.0
    )
    SERVER = BackendServer(id="i-1", service="desk", address="a:1", zone="z", slots=3)

    def test_a_request_names_the_server_and_the_time_left(self):
        """Guards against a request without the id of its server or the time left.

        Another server, or one that gets the request too late, could then execute it.
        """
        lines = request_header_lines(self.REQUEST, self.SERVER, remaining_s=0.25)
        assert "X-Expect-Instance: i-1" in lines
        assert "X-Deadline-Ms: 250" in lines

    def reply(self, status, **headers):
        pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        return reply_from_http(Reply(status=status, body=b"", headers=pairs), self.REQUEST)

    def notice(self, status, **headers):
        pairs = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        return notice_from_http(Reply(status=status, body=b"", headers=pairs))

    @pytest.mark.parametrize("status", [200, 404, 429, 500, 503])
    def test_a_replica_that_leaves_says_so_in_any_reply(self, status):
        """Guards against an announcement that is read in successful replies only."""
        assert self.notice(status, Server_Leaving="1").leaving
        assert self.notice(status, X_Request_Id="another", server_leaving="1").leaving

    @pytest.mark.parametrize("value", ["0", "", "no"])
    def test_another_value_announces_nothing(self, value):
        """Guards against a server that is given up for an empty header."""
        assert self.notice(200, Server_Leaving=value) is None

    def test_a_misdirected_reply_says_nothing_about_the_server(self):
        """Guards against a notice of the process that has taken over the address of a server."""
        notice = self.notice(421, Server_Leaving="1", Retry_After="3", X_Server_Load="9,9,4")
        assert notice is None

    def test_a_load_is_read_in_any_reply(self):
        """Guards against the load of a server that refuses, or of one that is slow, being lost."""
        load = self.notice(503, x_server_load="4,7,4,250").load
        assert (load.running, load.waiting, load.slots, load.slowdown) == (4, 7, 4, 2.5)
        assert self.notice(200, X_Server_Load="4,7,4").load.slowdown == 1.0

    @pytest.mark.parametrize(
        "value", ["4,7", "4,7,0", "4,-7,4", "4,7,4,0", "4;7;4", "²,1,4", "9" * 5000 + ",1,4"]
    )
    def test_an_unreadable_load_is_no_load(self, value):
        """Guards against an exception, or a load without meaning, from a faulty header."""
        assert self.notice(200, X_Server_Load=value) is None

    def test_a_huge_load_is_limited(self):
        """Guards against numbers that cannot be converted to floats."""
        load = self.notice(200, X_Server_Load="1,9999999999999999999,4,9999999999999999999").load
        assert load.waiting <= 10_000 and load.slowdown <= 100.0

    @pytest.mark.parametrize(
        ("status", "value", "quiet_s"),
        [(503, "0.25", 0.25), (503, "2", 2.0), (503, "1e300", 1e300), (429, "2", None)]
        + [(503, value, None) for value in ("0", "-1", "nan", "soon", "")],
    )
    def test_a_time_without_requests_is_a_positive_number_in_a_503_reply(
        self, status, value, quiet_s
    ):
        """Guards against a time that is lost, or an unreadable one that ends the task."""
        notice = self.notice(status, Retry_After=value)
        assert (notice.quiet_s if notice else None) == quiet_s

    @pytest.mark.parametrize(
        ("value", "warm_up_s"),
        [("2500", 2.5), ("1e300", 86_400.0), ("0", None), ("-1", None), ("nan", None), ("", None)],
    )
    def test_a_cold_replica_states_how_long_it_stays_cold(self, value, warm_up_s):
        """Guards against a full load on a replica whose entry does not say yet that it is cold."""
        notice = self.notice(200, X_Warmup_Ms=value)
        assert (notice.warm_up_s if notice else None) == warm_up_s

    def test_an_answer_to_another_request_is_discarded(self):
        """Guards against the use of a reply to another request, such as a late or duplicate one."""
        assert self.reply(200, X_Request_Id="other", X_Server_Stamp="p") is None

    @pytest.mark.parametrize(
        ("status", "headers", "ran"),
        [
            (503, {"X_Not_Executed": "1"}, ExecutionStatus.NOT_RUN),
            (421, {}, ExecutionStatus.NOT_RUN),
            (503, {}, ExecutionStatus.RUN),
            (504, {}, ExecutionStatus.RUN),
            (500, {"X_Server_Stamp": "p"}, ExecutionStatus.RUN),
        ],
    )
    def test_not_run_requires_a_statement_of_the_replica(self, status, headers, ran):
        """Guards against an error status that is taken as proof that a request was not executed."""
        assert self.reply(status, **headers).ran is ran

    def test_a_success_needs_a_signature(self):
        """Guards against a 2xx reply of something other than a replica that counts as a success."""
        assert self.reply(200).succeeded is False
        assert self.reply(200, X_Server_Stamp="p").succeeded is True

    def test_a_valid_entry_is_a_success(self):
        """Guards against a plain server in place of a ``Success``, which callers test for."""
        assert isinstance(server_from_entry("servers/i-1", msgspec.json.encode(ENTRY)), Success)
