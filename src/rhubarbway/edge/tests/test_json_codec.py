"""Tests of JSON decoding and of the nesting limit."""

import time

import pytest

from rhubarbway.edge.json_codec import JsonError, canonical_json, decode_json, nesting_depth


class TestDecoding:
    @pytest.mark.parametrize(
        "data",
        [b"", b"{", b'"\xff"', b'"\\ud800"', b"1e999", b"NaN", b"1" * 5000, b"[" * 33 + b"]" * 33],
    )
    def test_bad_text_is_refused(self, data):
        """Guards against malformed text that raises another exception or is accepted."""
        with pytest.raises(JsonError):
            decode_json(data)

    def test_depth_limit_is_exact(self):
        """Guards against text of the greatest permitted depth that is rejected."""
        assert decode_json(b"[" * 32 + b"]" * 32)

    def test_brackets_in_strings_do_not_count(self):
        """Guards against strings that are rejected for the brackets they contain."""
        assert nesting_depth(b'["' + b"[" * 100 + b'\\"[["]') == 1

    def test_a_large_body_of_brackets_is_counted_quickly(self):
        """Guards against a check that holds the interpreter lock for long on a body of brackets."""
        started = time.monotonic()
        assert nesting_depth(b"[" + b"[]," * 300_000) > 32
        assert nesting_depth(b"[" * 1_000_000) == 33
        assert time.monotonic() - started < 1.0

    def test_large_integers_keep_their_value(self):
        """Guards against large integers that are rounded to floating point."""
        assert canonical_json(decode_json(b"9" * 100)) == b"9" * 100
