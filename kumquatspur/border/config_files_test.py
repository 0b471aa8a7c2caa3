import json
import unittest

from kumquatspur.border.config_files import load_configuration

SEARCHER = {
    "host": "127.0.0.1",
    "port": 9000,
    "zone": "z",
    "slots": 2,
    "connections": 25,
    "shards": ["c/0"],
}
GOOD = {
    "services": {"s": {"catalogues": ["c"]}},
    "catalogues": {"c": {"layouts": [{"shards": ["c/0"]}]}},
    "searchers": {"c-0": SEARCHER},
}


class ConfigFilesTest(unittest.TestCase):
    def test_later_file_wins(self):
        later = {"searchers": {"c-0": {**SEARCHER, "port": 9001}}}
        files = {"10-a.json": json.dumps(GOOD), "20-b.json": json.dumps(later)}
        configuration, errors = load_configuration(files, 3)
        self.assertEqual(errors, [])
        self.assertEqual(configuration.revision, 3)
        self.assertEqual(configuration.searchers["c-0"].address.port, 9001)

    def test_errors_name_file_and_location(self):
        cases = [
            ("{", "a.json:1", "JSON"),
            ('{"services": {"s": {}}}', "a.json: services.s.catalogues", ""),
            ('{"serivces": {}}', "a.json: serivces", "not permitted"),
            ('{"drain": ["x"]}', "drain", "unknown searcher"),
            ('{"drain": [], "drain": []}', "a.json", "duplicate key"),
        ]
        for text, source, message in cases:
            with self.subTest(text=text):
                configuration, errors = load_configuration({"a.json": text})
                self.assertIsNone(configuration)
                self.assertEqual(errors[0].source, source)
                self.assertIn(message, errors[0].message)


if __name__ == "__main__":
    unittest.main()
