import json
import pathlib
import tempfile
import unittest

from kumquatspur.border.entry_settings import read_entry_settings
from kumquatspur.core.records import Address

SETTINGS = {
    "name": "h",
    "zone": "z",
    "front": "10.0.0.1:80",
    "ready": "10.0.0.1:81",
    "peer": "10.0.0.1:82",
    "seeds": ["10.0.0.2:82"],
    "metrics_port": 9464,
    "store": "10.0.0.9:1",
    "heartbeat_ms": 1200,
    "machine": {
        "cpu_share": 0.5,
        "cores": 2,
        "memory_mb": 300,
        "max_fds": 4100,
        "link_mbps": 1000.0,
    },
    "bounds": {
        "drain_ms": 3000,
        "grace_s": 6,
        "config_apply_ms": 3000,
        "retry_budget_ratio": 0.2,
        "retry_budget_window_s": 10,
        "retry_budget_slack": 58,
    },
}


class EntrySettingsTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            path.write_text(text, encoding="utf-8")
            return read_entry_settings(str(path))

    def test_settings(self):
        settings, errors = self.read(json.dumps(SETTINGS))
        self.assertEqual(errors, [])
        self.assertEqual(settings.front, Address("10.0.0.1", 80))
        self.assertEqual(settings.seeds, (Address("10.0.0.2", 82),))

    def test_no_seeds_and_new_fields(self):
        changed = {**SETTINGS, "seeds": None, "peer": None, "new": 1}
        settings, errors = self.read(json.dumps(changed))
        self.assertEqual(errors, [])
        self.assertEqual(settings.seeds, ())
        self.assertIsNone(settings.peer)

    def test_numbers_may_be_text_or_have_a_decimal_point(self):
        changed = {**SETTINGS, "metrics_port": "9464", "heartbeat_ms": "1200"}
        changed["machine"] = {**SETTINGS["machine"], "max_fds": 4100.0}
        settings, errors = self.read(json.dumps(changed))
        self.assertEqual(errors, [])
        self.assertEqual(settings.metrics_port, 9464)
        self.assertEqual(settings.machine.max_fds, 4100)

    def test_errors_name_the_invalid_field(self):
        for field, value in {
            "front": "10.0.0.1",
            "store": "10.0.0.1:99999",
            "name": "",
            "heartbeat_ms": 0,
            "machine": {},
            "bounds": None,
        }.items():
            with self.subTest(field=field):
                changed = {**SETTINGS, field: value}
                settings, errors = self.read(json.dumps(changed))
                self.assertIsNone(settings)
                self.assertIn(field, errors[0].source)
                self.assertIn("settings.json", errors[0].source)

    def test_unreadable_files(self):
        self.assertIn("not JSON", self.read("{")[1][0].message)
        self.assertIn(
            "cannot be read", read_entry_settings("/nowhere")[1][0].message
        )


if __name__ == "__main__":
    unittest.main()
