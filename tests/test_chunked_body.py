"""Tests of the framing of chunked bodies."""

import unittest

from aiohttp.http_exceptions import BadHttpMessage
from hypothesis import given
from hypothesis import strategies as st

from cowslipvane.tasks.http._chunked_body import (
    MAX_LINE_BYTES,
    MAX_TRAILERS,
    ChunkedBody,
    Filtered,
)

BEHIND = b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKS = (
    b"0\r\n",
    b"3\r\nabc\r\n0\r\n",
    b"0003;name=value\r\nabc\r\n000\r\n",
    b'b;x="y"\r\n0\r\n\r\nA: b\r\n\r\n00;last\r\n',
    b"2\r\n\r\n\r\n4\r\n\r\n\r\n\r\n0\r\n",
)
TRAILERS = (b"", b"A: b\r\n", b"A:\r\nAuthorization: Bearer key\r\n", b"A: 0\r\nB: \xff\t~\r\n")
ODD_SIZES = (
    b"",
    b"0x10",
    b"+5",
    b"-1",
    b"1_0",
    b" 5",
    b"5 ",
    b"5\t",
    b"5 ;a",
    b"g",
    b"5;a\x00",
    b"5;a\nb",
    b"5;a\rb",
    b"5\n",
    b"\n5",
    b"0" * 17,
    b"5;" + b"x" * MAX_LINE_BYTES,
    "５".encode(),
)
ODD_TRAILERS = (
    b"no field",
    b"A : b",
    b" A: b",
    b": b",
    b"A: b\r\n c",
    b"A: b\nB: c",
    b"A: \x00",
    b"A\xff: b",
    b"Content-Length: 3",
    b"transfer-encoding: chunked",
    b"A: " + b"b" * MAX_LINE_BYTES,
)


def filter_all(*pieces: bytes) -> tuple[Filtered, bool]:
    """Return what passes of a body in pieces with the bytes behind it, and whether it ended."""
    body = ChunkedBody()
    passed, behind = b"", b""
    for piece in pieces:
        if body.is_whole:
            behind += piece
        else:
            filtered = body.filter(piece)
            passed += filtered.body
            behind += filtered.rest
    return Filtered(passed, behind), body.is_whole


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    """Return data in pieces."""
    places = [0, *sorted({cut % (len(data) + 1) for cut in cuts}), len(data)]
    return [data[start:end] for start, end in zip(places, places[1:], strict=False)]


class ChunkedBodyTest(unittest.TestCase):
    """A body is followed to its end, without its trailers."""

    # Guards against a trailer, or a part of it, that reaches the parser or the next request.
    def test_every_split_in_three_pieces(self) -> None:
        """Drops the trailers, and finds the end."""
        for chunks in CHUNKS:
            for trailers in TRAILERS:
                data = chunks + trailers + b"\r\n" + BEHIND
                expected = (Filtered(chunks + b"\r\n", BEHIND), True)
                ends = len(data) - len(BEHIND) + 3
                for first in range(ends):
                    for second in range(first, ends):
                        pieces = (data[:first], data[first:second], data[second:])
                        self.assertEqual(filter_all(*pieces), expected, pieces)

    # Guards against the same with any sizes, and in any number of pieces.
    @given(
        st.lists(st.binary(min_size=1, max_size=40), max_size=6),
        st.lists(st.sampled_from((b"A: b", b"0:", b"C: \xff")), max_size=4),
        st.lists(st.integers(0, 1000), max_size=30),
    )
    def test_any_split(self, chunks: list[bytes], trailers: list[bytes], cuts: list[int]) -> None:
        """Drops the trailers, and finds the end."""
        framed = b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks) + b"0\r\n"
        ended = b"".join(trailer + b"\r\n" for trailer in trailers) + b"\r\n"
        pieces = split(framed + ended + BEHIND, cuts)
        self.assertEqual(filter_all(*pieces), (Filtered(framed + b"\r\n", BEHIND), True))

    # Guards against a size that another recipient may read differently, which hides a request.
    def test_odd_size_lines_are_refused(self) -> None:
        """As the first one and as a later one, whole and byte by byte."""
        for size in ODD_SIZES:
            for data in (size + b"\r\nabcde", b"1\r\na\r\n" + size + b"\r\nabcde"):
                for pieces in ([data], split(data, list(range(len(data))))):
                    with self.subTest(data[:40], pieces=len(pieces)):
                        self.assertRaises(BadHttpMessage, filter_all, *pieces)

    # Guards against a chunk whose end and size disagree, which hides a request.
    def test_data_of_another_size_is_refused(self) -> None:
        """Longer, shorter, or with a line feed alone behind it."""
        for data in (b"2\r\nabc\r\n", b"4\r\nabc\r\n0\r\n", b"3\r\nabc\n0\r\n", b"3\r\nabc\r0\r\n"):
            for pieces in ([data], split(data, list(range(len(data))))):
                with self.subTest(data, pieces=len(pieces)):
                    self.assertRaises(BadHttpMessage, filter_all, *pieces)

    # Guards against trailers that were refused while the parser read them, and now pass unread.
    def test_odd_trailers_are_refused(self) -> None:
        """Whole and byte by byte."""
        for trailer in ODD_TRAILERS:
            data = b"0\r\n" + trailer + b"\r\n\r\n"
            for pieces in ([data], split(data, list(range(len(data))))):
                with self.subTest(trailer[:40], pieces=len(pieces)):
                    self.assertRaises(BadHttpMessage, filter_all, *pieces)

    # Guards against trailers without end.
    def test_number_of_trailers_is_limited(self) -> None:
        """To that of the fields of a head."""
        most = b"0\r\n" + b"A: b\r\n" * MAX_TRAILERS
        self.assertEqual(filter_all(most + b"\r\n"), (Filtered(b"0\r\n\r\n", b""), True))
        self.assertRaises(BadHttpMessage, filter_all, most + b"A: b\r\n")

    # Guards against a trailer that is kept in memory until it ends.
    def test_long_trailer_is_refused_before_its_end(self) -> None:
        """A line has a limit, and no end of it is waited for."""
        body = ChunkedBody()
        body.filter(b"0\r\nA: ")
        body.filter(b"b" * (MAX_LINE_BYTES - 3))
        self.assertRaises(BadHttpMessage, body.filter, b"b")


if __name__ == "__main__":
    unittest.main()
