"""Tests of the incremental parser of one response."""

import itertools
import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rhubarbway.edge import response_reader
from rhubarbway.edge.response_reader import ResponseError, ResponseReader
from rhubarbway.edge.tests.endless_responses import ENDLESS_RESPONSES, PIECE_BYTES

INTERIM = b"HTTP/1.1 100 Continue\r\nEarly: 1\r\n\r\n"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nhe\r\n3\r\nllo\r\n0\r\nTrailer: 1\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nX-Proof: p\r\n\r\nhello"
WITHOUT_BODY = b"HTTP/1.1 204 No Content\r\nX-Proof: p\r\n\r\n"


def read(data, *, size=None, head_only=False):
    """Feed bytes in pieces until the response is complete."""
    reader = ResponseReader(head_only=head_only)
    size = size or max(1, len(data))
    for start in range(0, len(data), size):
        reader.feed(data[start : start + size])
    return reader


class TestCompleteResponse:
    @pytest.mark.parametrize("data", [WITH_LENGTH, CHUNKED])
    @given(size=st.integers(1, 60))
    def test_pieces_of_any_size_make_the_same_response(self, data, size):
        """Guards against a response that depends on how the network splits it."""
        reader = read(data, size=size)
        assert reader.complete and reader.reusable
        reply = reader.reply()
        assert (reply.status, reply.body) == (200, b"hello")
        assert ("X-Proof", "p") in reply.headers

    def test_bytes_outside_ascii_are_kept_and_whitespace_around_them_is_not(self):
        """Guards against header values that the caller gets changed, or that cannot be sent on."""
        data = WITH_LENGTH.replace(b"X-Proof: p", b"X-Proof: \t \xa0p\xc4\x83 q\x85 \t ")
        assert ("X-Proof", "\xa0p\xc4\x83 q\x85") in read(data, size=3).reply().headers

    def test_an_interim_response_is_dropped(self):
        """Guards against a 100 response, or its headers, in place of the final response."""
        reader = read(INTERIM + WITH_LENGTH, size=7)
        assert reader.complete and reader.reusable
        assert reader.reply().body == b"hello"
        assert ("Early", "1") not in reader.reply().headers

    def test_a_response_without_a_body_ends_with_its_head(self):
        """Guards against a call that waits for the body of a 204 response."""
        reader = read(WITHOUT_BODY)
        assert reader.complete and reader.reply().status == 204

    def test_the_answer_to_a_head_request_ends_with_its_head(self):
        """Guards against a call that waits for the stated length although no body follows."""
        head, _, _ = WITH_LENGTH.partition(b"hello")
        reader = read(head, head_only=True)
        assert reader.complete and reader.reply().body == b""

    def test_a_response_without_a_length_ends_with_the_connection(self):
        """Guards against the rejection of a body whose end is the end of the connection."""
        reader = read(WITHOUT_LENGTH)
        assert not reader.complete
        reader.feed(b"")
        assert reader.complete and not reader.reusable
        assert reader.reply().body == b"hello"

    def test_a_connection_that_the_server_closes_is_not_reused(self):
        """Guards against a request on a connection that the server is about to close."""
        data = WITH_LENGTH.replace(b"X-Proof: p", b"Connection: close")
        reader = read(data)
        assert reader.complete and not reader.reusable


class TestBytesAfterTheResponse:
    @pytest.mark.parametrize("extra", [b"garbage", WITH_LENGTH, WITH_LENGTH[:9], CHUNKED])
    def test_the_connection_is_not_reused(self, extra):
        """Guards against a duplicated response that is read as the answer to the next request."""
        reader = read(WITH_LENGTH + extra)
        assert reader.complete and not reader.reusable
        assert reader.reply().body == b"hello"
        assert reader.reply().headers == (("X-Proof", "p"), ("Content-Length", "5"))


class TestBrokenResponse:
    @pytest.mark.parametrize("data", [WITH_LENGTH, CHUNKED, WITHOUT_BODY, INTERIM])
    def test_an_early_end_is_an_error_at_each_byte(self, data):
        """Guards against a truncated response that passes for a complete one."""
        for end in range(len(data)):
            reader = read(data[:end])
            if not reader.complete:
                with pytest.raises(ResponseError):
                    reader.feed(b"")

    def test_a_head_without_a_length_and_a_body_may_be_cut_off(self):
        """Guards against a head that ends early and passes for an empty response."""
        reader = read(WITHOUT_LENGTH.partition(b"hello")[0])
        with pytest.raises(ResponseError):
            reader.feed(b"")

    @pytest.mark.parametrize(
        "data",
        [
            b"garbage\r\n\r\n",
            b"HTTP/1.1 20x OK\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\na",
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nzz",
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        ],
    )
    def test_bytes_that_are_no_response_are_an_error(self, data):
        """Guards against malformed or ambiguous framing that is accepted."""
        with pytest.raises(ResponseError):
            read(data)

    @pytest.mark.parametrize("status", ["000", "099", "600", "999"])
    @pytest.mark.parametrize("following", [b"", WITH_LENGTH])
    def test_a_status_that_http_does_not_define_is_an_error(self, status, following):
        """Guards against the body of such a response in front of that of the next one (MIXED)."""
        first = WITH_LENGTH.replace(b"200", status.encode())
        for size in (1, len(first + following)):
            with pytest.raises(ResponseError):
                read(first + following, size=size)

    def test_a_long_body_is_an_error(self, monkeypatch):
        """Guards against a response that fills the memory."""
        monkeypatch.setattr(response_reader, "REPLY_LIMIT_BYTES", 4)
        with pytest.raises(ResponseError, match="exceeds 4 bytes"):
            read(WITH_LENGTH)

    @given(data=st.binary(max_size=80))
    def test_arbitrary_bytes_give_a_response_or_a_response_error(self, data):
        """Guards against bytes that end the connection task with an unexpected exception."""
        reader = ResponseReader()
        try:
            reader.feed(data)
            reader.feed(b"")
        except ResponseError:
            return
        assert reader.complete


def endless(begin, piece):
    """Yield the begin of a response, and then the same bytes without end."""
    return itertools.chain([begin], itertools.repeat(piece))


class TestEndlessResponse:
    # Memory that one response may occupy while it is read, bytes: a body of the greatest size, its
    # copies in the parser, and a head.
    MEMORY_LIMIT_BYTES = 16 * 1024 * 1024

    @pytest.mark.parametrize(
        "pieces",
        [endless(begin, piece) for begin, piece in ENDLESS_RESPONSES.values()],
        ids=list(ENDLESS_RESPONSES),
    )
    def test_bytes_without_end_are_an_error_within_bounded_memory(self, pieces):
        """Guards against a server that fills the memory of a host, in any part of its response."""
        tracemalloc.start()
        try:
            reader = ResponseReader()
            with pytest.raises(ResponseError):
                # Far more than any limit, so that a missing one fails the test.
                for piece in itertools.islice(pieces, 4_000):
                    reader.feed(piece)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < self.MEMORY_LIMIT_BYTES

    def test_a_response_with_too_many_headers_is_no_response_without_them(self):
        """Guards against a response whose headers beyond the limit are dropped silently."""
        lines = b"A: 1\r\n" * (response_reader.HEADER_LINE_LIMIT + 1)
        with pytest.raises(ResponseError, match="lines"):
            read(b"HTTP/1.1 200 OK\r\n" + lines + b"Content-Length: 1\r\n\r\nb")

    def test_bytes_after_a_response_do_not_count_against_it(self):
        """Guards against a good response that is refused for what follows it."""
        reader = ResponseReader()
        reader.feed(WITH_LENGTH + b"x" * PIECE_BYTES * 3)
        assert reader.complete and not reader.reusable
