import json
import unittest

from kumquatspur.border.config_files import load_configuration
from kumquatspur.border.settings import Settings
from kumquatspur.core import actions, events
from kumquatspur.core.records import Query
from standins.deployment import OSLO, config_files, daemon_settings
from standins.node_driver import NodeDriver


def start_oslo(seed: int = 0) -> NodeDriver:
    settings = [Settings.model_validate(s) for s in daemon_settings(OSLO)]
    driver = NodeDriver(settings, seed)
    files = {n: json.dumps(v) for n, v in config_files(OSLO).items()}
    configuration, _ = load_configuration(files, 1)
    for name in driver.settings:
        driver.start(name)
    driver.configure(configuration)
    driver.run(3.0)
    return driver


class NodeDriverTest(unittest.TestCase):
    def test_full_answer(self):
        driver = start_oslo()
        query = Query("r1", "billing", "1", 5, driver.now + 0.14)
        driver.inject("oslo-1-a", events.QueryReceived(query))
        driver.run(0.2)
        (action,) = driver.outcomes["r1"]
        self.assertIsInstance(action, actions.AnswerCaller)
        self.assertEqual(len(action.answer.covered), 15)
        self.assertEqual(action.answer.missing, ())


if __name__ == "__main__":
    unittest.main()
