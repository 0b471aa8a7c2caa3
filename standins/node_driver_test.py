import unittest

from kumquatspur.core import actions, events
from kumquatspur.core.records import Query
from standins.node_driver import NodeDriver, start_driver
from standins.shapes import OSLO


def start_oslo(seed: int = 0) -> NodeDriver:
    return start_driver(OSLO, seed)


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
