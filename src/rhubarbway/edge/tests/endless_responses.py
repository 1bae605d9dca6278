"""Responses that a server sends without end, one for each position of a response."""

PIECE_BYTES = 32_768
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def repeated(part: bytes) -> bytes:
    """Return a part as often as it fits into a piece."""
    return part * (PIECE_BYTES // len(part))


# By position: the begin of the response, and the bytes that follow it without end.
ENDLESS_RESPONSES = {
    "blank lines before the status": (b"", repeated(b"\r\n")),
    "garbage": (b"", repeated(b"x")),
    "version": (b"HTTP/1.", repeated(b"1")),
    "status code": (b"HTTP/1.1 2", repeated(b"0")),
    "space before the reason": (b"HTTP/1.1 200", repeated(b" ")),
    "reason": (b"HTTP/1.1 200 ", repeated(b"O")),
    "interim responses": (b"", repeated(b"HTTP/1.1 100 Continue\r\n\r\n")),
    "headers of an interim response": (b"HTTP/1.1 103 Early Hints\r\n", repeated(b"A: 1\r\n")),
    "headers": (HEAD, repeated(b"A: 1\r\n")),
    "header name": (HEAD, repeated(b"A")),
    "space before a header value": (HEAD + b"A:", repeated(b" ")),
    "header value": (HEAD + b"A: ", repeated(b"1")),
    "folded header value": (HEAD + b"A: 1\r\n", repeated(b" 1\r\n")),
    "stated length": (HEAD + b"Content-Length: 1", repeated(b"0")),
    "body up to the end of the connection": (HEAD + b"\r\n", repeated(b"b")),
    "body of a stated length": (HEAD + b"Content-Length: 9000000000000\r\n\r\n", repeated(b"b")),
    "chunk size": (CHUNKED_HEAD, repeated(b"0")),
    "chunk extension": (CHUNKED_HEAD + b"1;", repeated(b"e")),
    "chunk extension of each chunk": (CHUNKED_HEAD, repeated(b"1;eeeeeeeeeeeeeeee\r\nb\r\n")),
    "chunks": (CHUNKED_HEAD, repeated(b"1\r\nb\r\n")),
    "one chunk": (CHUNKED_HEAD + b"ffffffffff\r\n", repeated(b"b")),
    "trailers": (CHUNKED_HEAD + b"1\r\nb\r\n0\r\n", repeated(b"T: 1\r\n")),
    "trailer name": (CHUNKED_HEAD + b"1\r\nb\r\n0\r\n", repeated(b"T")),
    "trailer value": (CHUNKED_HEAD + b"1\r\nb\r\n0\r\nT: ", repeated(b"1")),
}
