"""The checker reports each kind of violation, and none in a correct history.

The histories are made by hand. Each test guards against a checker that misses the violation in
its name, which would let the integration tests pass on a broken system. ``TestCorrectHistories``
guards against a checker that reports a violation where there is none.
"""

import pytest

from proofs.history import Call, Run, rejection_reason, violations
from rhubarbway.edge.json_codec import decode_json, encode_json, hex_digest

LAYOUTS = {"l1": {0: 1.0, 1: 3.0}, "l2": {0: 1.0}}


def item(**changes):
    return {"layout": "l1", "shard": 0, "snapshot": "s-1", "q": "a"} | changes


def answer_body(shards, *, missing=(), answered=None, fraction=1.0, request_id="r-a", **changes):
    return {
        "request_id": request_id,
        "layout": "l1",
        "snapshot": "s-1",
        "coverage": {
            "shards_total": 2,
            "shards_answered": len(shards) if answered is None else answered,
            "fraction": fraction,
            "missing": [{"shard": shard, "reason": "timed_out"} for shard in missing],
        },
        "digest": hex_digest(encode_json(shards)),
        "shards": shards,
    } | changes


def shard_body(shard, *items, fraction=1.0):
    return {"shard": shard, "fraction": fraction, "items": list(items)}


BOTH_SHARDS = [shard_body(0, item()), shard_body(1, item(shard=1))]


def call_with_reply(reply, *, status=200, **changes):
    return Call(
        **({"q": "a", "request_id": "r-a"} | changes), status=status, body=encode_json(reply)
    )


def refusal(ran):
    error = {"kind": "overloaded", "ran": ran, "detail": "", "retry_after_ms": None}
    return call_with_reply({"request_id": "r-a", "error": error}, status=429)


def run_on_shard(shard, *, q="a", snapshot="s-1", layout="l1", unsafe=False):
    return Run(q=q, replica="r", layout=layout, shard=shard, snapshot=snapshot, unsafe=unsafe)


RUNS = [
    run_on_shard(0),
    run_on_shard(1),
    run_on_shard(0, snapshot="s-2"),
    run_on_shard(0, layout="l2"),
    run_on_shard(0, q="b"),
]


def broken_invariants(call, *, runs=RUNS, caller_faults=False):
    """Return the numbers of the invariants that a history of one call breaks."""
    return {
        violation.invariant
        for violation in violations([call], runs, LAYOUTS, caller_faults=caller_faults)
    }


class TestCorrectHistories:
    def test_complete_answer(self):
        assert broken_invariants(call_with_reply(answer_body(BOTH_SHARDS))) == set()

    def test_incomplete_answer(self):
        reply = answer_body(BOTH_SHARDS[:1], missing=[1], fraction=0.25)
        assert broken_invariants(call_with_reply(reply)) == set()

    def test_refusals(self):
        assert broken_invariants(refusal("not_run"), runs=[]) == set()
        assert broken_invariants(refusal("unknown")) == set()

    def test_call_without_a_response(self):
        assert broken_invariants(Call(q="a", request_id="r-a")) == set()

    def test_unsafe_request_that_ran_once_on_each_shard(self):
        runs = [run_on_shard(0, unsafe=True), run_on_shard(1, unsafe=True)]
        assert broken_invariants(call_with_reply(answer_body(BOTH_SHARDS)), runs=runs) == set()


class TestSnapshotChecks:
    def test_item_of_another_snapshot(self):
        reply = answer_body([shard_body(0, item(snapshot="s-2")), BOTH_SHARDS[1]])
        assert broken_invariants(call_with_reply(reply)) == {1}

    def test_item_of_another_layout(self):
        assert broken_invariants(
            call_with_reply(answer_body([shard_body(0, item(layout="l2")), BOTH_SHARDS[1]]))
        ) == {1}

    def test_item_that_no_server_produced(self):
        assert broken_invariants(call_with_reply(answer_body(BOTH_SHARDS)), runs=RUNS[:1]) == {1}


class TestCoverageChecks:
    @pytest.mark.parametrize(
        "reply",
        [
            answer_body(BOTH_SHARDS[:1], missing=[], fraction=0.25),
            answer_body(BOTH_SHARDS[:1], missing=[], fraction=1.0),
            answer_body(BOTH_SHARDS[:1], missing=[1], fraction=0.5),
            answer_body(BOTH_SHARDS[:1], missing=[1], fraction=1.0),
            answer_body(BOTH_SHARDS[:1], missing=[1], fraction=0.25, answered=2),
            answer_body(BOTH_SHARDS, missing=[1]),
            answer_body([BOTH_SHARDS[0], shard_body(1)]),
            answer_body([BOTH_SHARDS[0], shard_body(1, item(shard=1), fraction=0.5)]),
            answer_body([BOTH_SHARDS[0], BOTH_SHARDS[0], BOTH_SHARDS[1]]),
        ],
        ids=[
            "missing shard not listed",
            "missing shard counted",
            "fraction ignores weights",
            "complete with a missing shard",
            "too many shards answered",
            "answered and missing",
            "shard without items",
            "partial shard counted as whole",
            "shard merged twice",
        ],
    )
    def test_wrong_coverage(self, reply):
        assert broken_invariants(call_with_reply(reply)) == {2}


class TestIdentityChecks:
    def test_items_of_another_request(self):
        assert broken_invariants(
            call_with_reply(answer_body([shard_body(0, item(q="b")), BOTH_SHARDS[1]]))
        ) == {3}

    def test_item_of_another_shard(self):
        assert 3 in broken_invariants(
            call_with_reply(answer_body([shard_body(1, item()), shard_body(0, item(shard=1))]))
        )

    def test_reply_to_another_request(self):
        assert broken_invariants(call_with_reply(answer_body(BOTH_SHARDS, request_id="r-b"))) == {3}

    def test_reply_whose_digest_does_not_match(self):
        assert broken_invariants(call_with_reply(answer_body(BOTH_SHARDS, digest="0" * 16))) == {3}

    def test_rejected_reply_counts_unless_callers_were_disturbed(self):
        """Guards against a wrong reply that is ignored because its caller has rejected it.

        Only faults between callers and entry hosts excuse a wrong reply.
        """
        call = call_with_reply(answer_body(BOTH_SHARDS, request_id="r-b"), rejected="reply to r-b")
        assert broken_invariants(call) == {3}
        assert broken_invariants(call, caller_faults=True) == set()

    def test_callers_reject_what_is_not_theirs(self):
        """Guards against callers that accept a damaged reply, or a reply to another request."""
        assert rejection_reason(call_with_reply(answer_body(BOTH_SHARDS))) == ""
        assert (
            rejection_reason(call_with_reply(answer_body(BOTH_SHARDS, request_id="r-b")))
            == "reply to r-b"
        )
        assert rejection_reason(call_with_reply(answer_body(BOTH_SHARDS, digest="0")))
        assert rejection_reason(Call(q="a", request_id="r-a", status=200, body=b'{"request_id'))


class TestRefusalChecks:
    def test_refused_request_that_ran(self):
        assert broken_invariants(refusal("not_run")) == {4}

    def test_refusal_is_decoded(self):
        """Guards against a hand-made refusal that does not state ``not_run``."""
        assert decode_json(refusal("not_run").body)["error"]["ran"] == "not_run"


class TestRepetitionChecks:
    def test_unsafe_request_that_ran_twice_on_a_shard(self):
        runs = [
            run_on_shard(0, unsafe=True),
            run_on_shard(0, unsafe=True),
            run_on_shard(1, unsafe=True),
        ]
        assert broken_invariants(call_with_reply(answer_body(BOTH_SHARDS)), runs=runs) == {5}
