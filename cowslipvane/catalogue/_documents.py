"""The difference between two documents, so that a change costs only the text it alters."""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import NamedTuple

# Documents are split into chunks after closing braces; equal chunks are reused.
_CHUNK = re.compile(r"[^}]+}*|}+")


class Piece(NamedTuple):
    """A range of characters of the previous document or, if text isn't empty, that text."""

    start: int
    length: int
    text: str


def diff_documents(before: str, after: str) -> tuple[Piece, ...]:
    """Return the pieces that turn one document into another."""
    starts: dict[str, int] = {}
    for start, chunk in _chunks(before):
        starts.setdefault(chunk, start)
    pieces: list[Piece] = []
    for _, chunk in _chunks(after):
        last = pieces[-1] if pieces else Piece(0, 0, "")
        copied_end = last.start + last.length
        if not last.text and before.startswith(chunk, copied_end):
            extended = [Piece(last.start, last.length + len(chunk), "")]
            pieces[-1:] = extended
        elif chunk in starts:
            pieces.append(Piece(starts[chunk], len(chunk), ""))
        elif last.text:
            pieces[-1] = Piece(0, 0, last.text + chunk)
        else:
            pieces.append(Piece(0, 0, chunk))
    return tuple(pieces)


def apply_pieces(before: str, pieces: tuple[Piece, ...]) -> str:
    """Return the document that results from applying pieces to the previous one."""
    return "".join(
        piece.text or before[piece.start : piece.start + piece.length] for piece in pieces
    )


def _chunks(document: str) -> Iterator[tuple[int, str]]:
    """Yield the chunks of a document, each with its offset."""
    for match in _CHUNK.finditer(document):
        yield match.start(), match.group()
