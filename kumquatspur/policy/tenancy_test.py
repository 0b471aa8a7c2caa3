import hashlib
import unittest

from kumquatspur.core.records import Team
from kumquatspur.policy.tenancy import (
    FileEdit,
    Operator,
    check_edit,
    identify,
)

DIGEST = hashlib.sha256(b"desk-secret").hexdigest()
TEAM = Team("desk", "desk-", DIGEST, 2, 50)
DESK = Operator("desk", TEAM)


class TenancyTest(unittest.TestCase):
    def test_identify(self):
        cases = [
            ("admin-key", "operator"),
            ("desk-secret", "desk"),
            ("other", None),
            ("", None),
        ]
        for key, expected in cases:
            with self.subTest(key=key):
                found = identify(key, "admin-key", {"desk": TEAM})
                self.assertEqual(found and found.name, expected)

    def test_team_edits(self):
        files = {"desk-1.json": "x" * 20, "zoo.json": "y" * 999}
        cases = [
            (FileEdit("desk-1.json", "x" * 50), ""),
            (FileEdit("desk-2.json", "x" * 30), ""),
            (FileEdit("desk-1.json", None), ""),
            (FileEdit("zoo.json", "{}"), "may only change"),
            (FileEdit("desk-2.json", "x" * 31), "at most 50 bytes"),
            (FileEdit("desk-1.json", "", ("pens",)), "must begin with"),
            (FileEdit("desk-1.json", "", (), True), "only the operator"),
        ]
        for edit, message in cases:
            with self.subTest(edit=edit):
                errors = check_edit(DESK, edit, files)
                self.assertEqual(len(errors), int(bool(message)))
                self.assertIn(message, str(errors))

    def test_number_of_files(self):
        files = {"desk-1.json": "", "desk-2.json": ""}
        errors = check_edit(DESK, FileEdit("desk-3.json", ""), files)
        self.assertIn("at most 2 files", errors[0].message)

    def test_operator_may_change_everything(self):
        edit = FileEdit("zoo.json", "x" * 999, ("a",), True)
        self.assertEqual(check_edit(Operator("operator", None), edit, {}), [])


if __name__ == "__main__":
    unittest.main()
