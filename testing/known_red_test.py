import unittest

from testing.known_red import KnownRed, parse_known_red

ENTRY = "test: a.B.c\ncommand: make x\nseed: 7\nseen: lost: 1\nissue: 4\n"


class KnownRedTest(unittest.TestCase):
    def test_entries(self):
        entries, errors = parse_known_red(f"# note\n\n{ENTRY}\n{ENTRY}", "f")
        self.assertEqual(errors, [])
        expected = KnownRed("a.B.c", "make x", "7", "lost: 1", "4")
        self.assertEqual(entries, [expected, expected])

    def test_incomplete_entry_is_an_error(self):
        entries, errors = parse_known_red("test: a.B.c\n", "f")
        self.assertEqual(entries, [])
        self.assertEqual(errors[0].source, "f:2")


if __name__ == "__main__":
    unittest.main()
