"""Tests of both client connections with a server that sends an answer twice, over real sockets."""

import pytest

from rhubarbway.edge.exchange_connection import ExchangeConnection
from rhubarbway.edge.http_client import CallError, HttpConnection
from rhubarbway_standins.stuttering_server import (
    STUTTERS,
    Stutter,
    StutteringServer,
    header,
    response,
)

TIMEOUT_S = 5.0
ID = "X-Request-Id"


@pytest.fixture(params=[HttpConnection, ExchangeConnection])
def client_class(request):
    """Return one of the two connection classes, which give the same guarantees."""
    return request.param


def ask(client, number):
    """Send a request with an id; return status, ids and body of the reply."""
    reply = client.exchange(
        "GET", "/", headers=["Host: h", f"{ID}: {number}"], body=b"", timeout_s=TIMEOUT_S
    )
    ids = [value for name, value in reply.headers if name == ID]
    return reply.status, ids, reply.body


def echo_id(head, body):
    number = header(head, ID.lower().encode()).decode()
    status = "200 OK" if number == "1" else "500 Internal Server Error"
    return response(f"body {number}".encode(), f"{ID}: {number}", "X-Proof: p", status=status)


class TestSecondReply:
    @pytest.mark.parametrize(
        "name", ["same_segment", "idle", "half_in_same_segment", "half_while_idle"]
    )
    def test_a_connection_with_unread_bytes_is_not_used_again(self, client_class, name):
        """Guards against a second reply that is read as the answer to the next request."""
        server = StutteringServer(answer=echo_id, stutter=STUTTERS[name])
        found = []
        client = client_class(address=server.address, on_unexpected_data=found.append)
        try:
            assert ask(client, 1) == (200, ["1"], b"body 1")
            assert server.copies_sent.wait(TIMEOUT_S)
            assert ask(client, 2) == (500, ["2"], b"body 2")
            assert ask(client, 3) == (500, ["3"], b"body 3")
            assert server.connection_count == 2
            assert found == [server.address]
        finally:
            client.disconnect()
            server.stop()

    @pytest.mark.parametrize("ending", ["server", "close", "client", "aborted", "error"])
    def test_the_end_of_a_connection_is_no_unexpected_data(self, client_class, ending):
        """Guards against a count that rises whenever a connection ends in the usual ways."""

        def answer(head, body):
            if ending == "error":
                return response(b"body")[:-1]
            return response(b"body", "Connection: close" if ending == "close" else "X-A: 1")

        server = StutteringServer(answer=answer, stutter=Stutter(moment="idle", size=0))
        found = []
        client = client_class(address=server.address, on_unexpected_data=found.append)
        try:
            for _ in range(2):
                if ending == "error":
                    with pytest.raises(CallError):
                        client.exchange("GET", "/", headers=["Host: h"], body=b"", timeout_s=0.1)
                    continue
                assert ask(client, 1)[2] == b"body"
                if ending == "server":
                    server.end_connections()
                elif ending == "client":
                    client.disconnect()
                elif ending == "aborted":
                    client.abort(client.call_number)
            assert found == []
        finally:
            client.disconnect()
            server.stop()

    def test_a_copy_cut_at_any_byte_does_not_mix_with_the_next_answer(self, client_class):
        """Guards against the status or a header of one answer with the id of another.

        A copy that is cut within a header or the status line joins the status line of the answer
        behind it.
        """
        size = len(echo_id(f"GET / HTTP/1.1\r\n{ID}: 1".encode(), b""))
        for cut in range(1, size + 1):
            server = StutteringServer(
                answer=echo_id, stutter=Stutter(moment="next_request", size=cut)
            )
            client = client_class(address=server.address)
            try:
                ask(client, 1)
                try:
                    status, ids, body = ask(client, 2)
                except CallError as error:
                    assert error.sent
                else:
                    # The id belongs to the copy, so that the owner of the connection can tell.
                    assert (status, ids) == (200, ["1"]), cut
                    assert body.startswith(b"body 1"[: cut - size + 6]), cut
            finally:
                client.disconnect()
                server.stop()
