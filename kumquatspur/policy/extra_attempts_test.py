import random
import unittest

from kumquatspur.policy.extra_attempts import ExtraAttempts

WINDOW_S = 10.0
RATIO = 0.2
ALLOWANCE = 58.0
HOSTS = 9


def new_budget():
    return ExtraAttempts(WINDOW_S, RATIO, ALLOWANCE, sharers=HOSTS)


class ExtraAttemptsTest(unittest.TestCase):
    def test_idle_host_may_spend_its_part_of_the_allowance(self):
        budget = new_budget()
        spent = sum(budget.spend("s", 1.0) for _ in range(100))
        self.assertLessEqual(spent, ALLOWANCE / HOSTS)
        self.assertGreater(spent, 0)

    def test_budget_is_available_again_after_the_window(self):
        budget = new_budget()
        while budget.spend("s", 1.0):
            pass
        self.assertFalse(budget.spend("s", 1.0 + WINDOW_S / 2))
        self.assertTrue(budget.spend("s", 2.0 + WINDOW_S))

    def test_restarted_host_does_not_spend_its_part_again(self):
        budget = ExtraAttempts(WINDOW_S, RATIO, ALLOWANCE, 100.0 + WINDOW_S)
        self.assertFalse(budget.spend("s", 101.0))
        for _ in range(10):
            budget.record_request("s", 101.0)
        self.assertTrue(budget.spend("s", 102.0))
        self.assertTrue(budget.spend("s", 100.0 + WINDOW_S))

    def test_services_do_not_share(self):
        budget = new_budget()
        while budget.spend("s", 1.0):
            pass
        self.assertTrue(budget.spend("t", 1.0))

    def test_reserve_is_available_for_retries(self):
        budget = new_budget()
        while budget.spend("s", 1.0, reserve_share=0.2):
            pass
        self.assertTrue(budget.spend("s", 1.0))

    def test_host_of_a_large_fleet_can_hedge(self):
        """Each of 72 hosts gets one request every second or two."""
        budget = ExtraAttempts(WINDOW_S, RATIO, 184.0, sharers=72)
        for second in range(7):
            budget.record_request("s", float(second))
        self.assertTrue(budget.spend("s", 7.0, reserve_share=0.15))
        self.assertTrue(budget.spend("s", 7.0, reserve_share=0.15))

    def test_refund(self):
        budget = new_budget()
        while budget.spend("s", 1.0):
            pass
        budget.refund("s", 1.0)
        self.assertTrue(budget.spend("s", 1.0))

    def test_all_hosts_together_stay_within_the_limit_in_every_window(self):
        """All hosts make as many extra attempts as they may for 30 s.

        In every sliding window, the extra attempts of all hosts stay within the
        ratio of the requests plus the allowance. A host spends on the requests
        of the window before each attempt, so the largest number of requests in
        this window, half a window before and one window before is allowed.
        """
        rng = random.Random(11)
        budgets = [new_budget() for _ in range(HOSTS)]
        requests, extras = [], []
        for step in range(30_000):
            now = step * 0.001
            rate = 0.4 if 8 < now < 15 else 0.1
            if rng.random() < rate:
                budget = rng.choice(budgets)
                budget.record_request("s", now)
                requests.append(now)
            if rng.random() < 0.5 and rng.choice(budgets).spend("s", now):
                extras.append(now)
        for start in range(0, 20_000, 250):
            begin = start / 1000
            end = begin + WINDOW_S
            used = sum(begin <= at < end for at in extras)
            requested = max(
                sum(begin - back <= at < end - back for at in requests)
                for back in (0.0, WINDOW_S / 2, WINDOW_S)
            )
            self.assertLessEqual(used, RATIO * requested + ALLOWANCE, begin)


if __name__ == "__main__":
    unittest.main()
