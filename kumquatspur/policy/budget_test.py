import unittest

from kumquatspur.policy.budget import ExtraAttemptBudget


class BudgetTest(unittest.TestCase):
    def test_extra_attempts_stay_a_share_of_first_ones(self):
        budget = ExtraAttemptBudget(0.05, 3.0)
        spent = 0
        for _ in range(1000):
            budget.earn(10)
            while budget.spend():
                spent += 1
        self.assertTrue(450 <= spent <= 10_000 * 0.05 + 3)

    def test_unused_tokens_do_not_accumulate(self):
        budget = ExtraAttemptBudget(0.05, 3.0)
        budget.earn(10_000)
        self.assertEqual(sum(budget.spend() for _ in range(10)), 3)

    def test_refund(self):
        budget = ExtraAttemptBudget(0.0, 1.0)
        self.assertTrue(budget.spend())
        self.assertFalse(budget.spend())
        budget.refund()
        self.assertTrue(budget.spend())


if __name__ == "__main__":
    unittest.main()
