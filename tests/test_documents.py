"""Tests of the differences between documents."""

import json
import random
import unittest

from cowslipvane.catalogue._documents import apply_pieces, diff_documents


def document(rng: random.Random, routes: list[str]) -> str:
    """Return a document with some routes and a version that always differs."""
    rules = [{"name": name, "match": {"path": f"/{name}/"}} for name in routes]
    return json.dumps({"version": rng.random(), "rules": rules}, separators=(",", ":"))


class DocumentsTest(unittest.TestCase):
    """Pieces restore the document, and are few after a small change."""

    def test_a_small_change_of_a_large_document_is_small(self) -> None:
        """One route is added, one removed and one moved among hundreds."""
        rng = random.Random(1)
        names = [f"route-{number}" for number in range(400)]
        before = document(rng, names)
        after = document(rng, ["new", *names[:100], *names[101:300], *names[301:], names[300]])
        pieces = diff_documents(before, after)
        self.assertEqual(apply_pieces(before, pieces), after)
        self.assertLess(sum(len(piece.text) for piece in pieces), len(after) / 50)
        self.assertLess(len(pieces), 12)

    def test_pieces_restore_any_document(self) -> None:
        """Documents may have braces at any place, or none."""
        rng = random.Random(2)
        texts = ["", "}", "}}", "a", "{}", "a}b}", '{"a":"}"}']
        texts += ["".join(rng.choices("ab{}", k=rng.randrange(30))) for _ in range(60)]
        for before in texts:
            for after in texts:
                self.assertEqual(apply_pieces(before, diff_documents(before, after)), after)


if __name__ == "__main__":
    unittest.main()
