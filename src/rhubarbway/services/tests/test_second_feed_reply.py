"""Tests of the feed between entry hosts with a followed host that answers twice."""

import pytest

from rhubarbway.edge import feed_wire
from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway.services.fleet import EXPECTED_POLL_ERRORS
from rhubarbway.services.tests.test_fleet import fleet_with_copy, wire_member
from rhubarbway_standins.stuttering_server import STUTTERS, StutteringServer, response

TIMEOUT_S = 5.0


class StutteringHost:
    """A followed host whose copy grows by a revision with each request."""

    def __init__(self, stutter, *, has_numbers=True):
        self.revision = 0
        self.has_numbers = has_numbers
        self.server = StutteringServer(answer=self.answer, stutter=stutter)

    def answer(self, head, body):
        self.revision += 1
        request = feed_wire.request_from_json(body)
        reply = feed_wire.FeedReply(
            sender=wire_member(2),
            after=self.revision,
            revision=self.revision,
            whole=False,
            complete=True,
            items=[],
            members=[],
            confirmed_age_ms=0,
            answers=request.number if self.has_numbers else None,
        )
        return response(feed_wire.message_to_json(reply))


class TestSecondReply:
    @pytest.mark.parametrize("name", STUTTERS)
    def test_a_copy_is_not_taken_for_the_next_reply(self, name):
        """Guards against an old reply whose confirmation of the copy counts from now on."""
        host = StutteringHost(STUTTERS[name])
        connection = HttpConnection(address=host.server.address)
        fleet = fleet_with_copy(1, [], revision=1)
        try:
            for number in (1, 2, 3):
                try:
                    reply = fleet.poll_feed(connection, source="", after=0, timeout_s=TIMEOUT_S)
                    assert reply.revision == host.revision
                except EXPECTED_POLL_ERRORS as error:
                    assert number == 2
                    assert not (isinstance(error, CallError) and error.timed_out)
                    # As ``follow`` does.
                    connection.disconnect()
            assert host.server.connection_count == 2
        finally:
            connection.disconnect()
            host.server.stop()

    def test_a_host_of_an_earlier_version_is_followed(self):
        """Guards against hosts that cannot follow each other during an update."""
        host = StutteringHost(STUTTERS["same_segment"], has_numbers=False)
        connection = HttpConnection(address=host.server.address)
        try:
            reply = fleet_with_copy(1, [], revision=1).poll_feed(connection, source="", after=0)
            assert reply.revision == 1
        finally:
            connection.disconnect()
            host.server.stop()


class TestUndefinedStatus:
    @pytest.mark.parametrize("status", ["000 X", "999 X"])
    @pytest.mark.parametrize("connection_class", [ExchangeConnection, HttpConnection])
    def test_is_no_reply_of_a_host(self, connection_class, status):
        """Guards against a copy of the store that comes from a broken reply of another host."""
        host = StutteringHost(STUTTERS["idle"])
        reply = host.server.answer
        host.server.answer = lambda head, body: reply(head, body).replace(
            b"200 OK", status.encode(), 1
        )
        connection = connection_class(address=host.server.address)
        try:
            with pytest.raises(CallError) as raised:
                fleet_with_copy(1, [], revision=1).poll_feed(connection, source="", after=0)
            assert raised.value.malformed
        finally:
            connection.disconnect()
            host.server.stop()
