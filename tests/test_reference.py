"""Tests that the reference pages say what the code does."""

import unittest

from tools.reference import DOCS, pages


class ReferenceTest(unittest.TestCase):
    """Each page is the one that `make docs` would write."""

    def test_no_page_has_drifted(self) -> None:
        """A command, option, setting or metric that is added is on its page."""
        for name, text in pages().items():
            with self.subTest(name):
                self.assertEqual((DOCS / name).read_text(), text, "run make docs")


if __name__ == "__main__":
    unittest.main()
