"""Tests that the generated reference pages are up to date."""

import unittest

from tools.reference import DOCS, pages


class ReferenceTest(unittest.TestCase):
    """Compares each page in the docs folder with the text that `make docs` generates."""

    def test_pages_match_the_code(self) -> None:
        """A page is stale if a command, option, setting or metric changed without `make docs`."""
        for name, text in pages().items():
            with self.subTest(name):
                self.assertEqual((DOCS / name).read_text(), text, "run make docs")


if __name__ == "__main__":
    unittest.main()
