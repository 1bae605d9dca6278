"""Tests of the checks on the replies of backend servers."""

import time

import msgspec
import pytest

from rhubarbway.edge import wire
from rhubarbway.edge.json_codec import hex_digest
from rhubarbway.model import AttemptId, ExecutionStatus, OutcomeKind, SubQuery


def sub_query():
    return SubQuery(
        attempt=AttemptId(host="e1", incarnation="aa", counter=7),
        service="desk",
        layout="l1",
        shard=2,
        snapshot="s-2",
        payload_json=b"{}",
        deadline=time.monotonic() + 1,
        unsafe=False,
    )


def reply(**changes):
    items = changes.pop("items", b'[{"q":1}]')
    fields = {
        "attempt": "e1/aa/7",
        "incarnation": "bb",
        "held_snapshots": ["s-2"],
        "service": "desk",
        "layout": "l1",
        "shard": 2,
        "snapshot": "s-2",
        "length": len(items),
        "digest": hex_digest(items),
        "items": msgspec.Raw(items),
    }
    return wire.SubQueryReply(**(fields | changes))


def outcome(message):
    return wire.outcome_of_reply(sub_query(), message, replica="r", latency_s=0.01)


class TestReplyChecks:
    def test_right_reply_is_an_answer(self):
        """Guards against a correct reply that is rejected."""
        result = outcome(reply())
        assert (result.kind, result.ran) == (OutcomeKind.ANSWERED, ExecutionStatus.RUN)
        assert result.answer.items_json == b'[{"q":1}]'

    @pytest.mark.parametrize(
        "changes",
        [
            {"attempt": "e1/aa/8"},
            {"attempt": "e1/ab/7"},
            {"service": "ledger"},
            {"layout": "l2"},
            {"shard": 3},
            {"snapshot": "s-1"},
            {"snapshot": None},
        ],
        ids=str,
    )
    def test_reply_to_something_else_is_foreign(self, changes):
        """Guards against a reply to another attempt, or from other data, taken as the answer."""
        result = outcome(reply(**changes))
        assert (result.kind, result.ran) == (OutcomeKind.FOREIGN_ANSWER, ExecutionStatus.UNKNOWN)
        assert result.answer is None

    @pytest.mark.parametrize(
        "changes",
        [
            {"length": 3},
            {"digest": hex_digest(b"[]")},
            {"fraction": 1.5},
            {"fraction": -0.1},
            {"items": b""},
            {"items": b'{"q":1}'},
            {"items": b'["\xff"]'},
            {"refused": "because"},
        ],
        ids=str,
    )
    def test_reply_with_wrong_content_is_bad(self, changes):
        """Guards against damaged content that becomes part of an answer."""
        result = outcome(reply(**changes))
        assert (result.kind, result.ran) == (OutcomeKind.BAD_ANSWER, ExecutionStatus.UNKNOWN)
        assert result.answer is None

    @pytest.mark.parametrize("name", sorted(wire.OUTCOME_BY_REFUSAL))
    def test_refusal_of_this_attempt_proves_that_it_was_not_run(self, name):
        """Guards against refused attempts that are reported as possibly executed."""
        assert outcome(reply(refused=name)).ran is ExecutionStatus.NOT_RUN

    def test_refusal_of_another_attempt_proves_nothing(self):
        """Guards against a foreign refusal that permits a second execution."""
        result = outcome(reply(refused="shed", attempt="e1/aa/8"))
        assert (result.kind, result.ran) == (OutcomeKind.FOREIGN_ANSWER, ExecutionStatus.UNKNOWN)


class TestRefusal:
    def test_refusal_without_items_is_readable_by_its_receiver(self):
        """Guards against an empty default of ``items`` that makes the refusal invalid JSON."""
        refusal = wire.SubQueryReply(
            attempt="e1/aa/7", incarnation="bb", held_snapshots=[], refused="shed"
        )
        result = outcome(wire.reply_from_json(msgspec.json.encode(refusal)))
        assert (result.kind, result.ran) == (OutcomeKind.SHED, ExecutionStatus.NOT_RUN)

    def test_answer_without_items_is_bad(self):
        """Guards against the default of ``items`` that passes for an empty answer."""
        answer = msgspec.structs.replace(
            reply(), items=wire.SubQueryReply("", "", []).items, length=-1, digest=""
        )
        assert outcome(answer).kind is OutcomeKind.BAD_ANSWER


class TestStatus:
    def test_late_reply_to_a_sub_query_is_not_a_status(self):
        """Guards against a late or duplicated reply that is read as a status.

        It has all fields of a status.
        """
        with pytest.raises(wire.MessageError):
            wire.status_from_json(msgspec.json.encode(reply()))

    def test_status_is_read(self):
        """Guards against a valid status that is rejected, or whose ``draining`` is misread."""
        data = b'{"incarnation":"bb","held_snapshots":["s-1"],"layout":"l1","draining":true}'
        assert wire.status_from_json(data).draining


class TestReplyParsing:
    @pytest.mark.parametrize(
        "data", [b"", b"\xff\xfe<html>", b"[" * 5000, b"{}", b'{"attempt":1}', b"null"], ids=repr
    )
    def test_any_other_body_is_a_message_error(self, data):
        """Guards against a body that ends the attempt with an unexpected exception."""
        with pytest.raises(wire.MessageError):
            wire.reply_from_json(data)
