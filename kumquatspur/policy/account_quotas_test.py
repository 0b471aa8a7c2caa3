import unittest

from kumquatspur.core.routing import Account
from kumquatspur.policy.account_quotas import (
    ADMITTED,
    ASKS,
    IDLE_S,
    MAX_REPORTED,
    MEMORY_S,
    AccountQuotas,
)
from kumquatspur.policy.quota_ledger import (
    LEASE_S,
    QuotaAsk,
    QuotaGrant,
    QuotaTerms,
)

TERMS = QuotaTerms(5.0, 0.1, 20.0)
ACCOUNT = Account("a", rate_per_s=10.0, burst=20.0)
START = 100.0


class AccountQuotasTest(unittest.TestCase):
    def setUp(self):
        self.quotas = AccountQuotas(START, TERMS, hosts=68.0)

    def admit(self, now, account=ACCOUNT, draw=1.0):
        return self.quotas.admit(account, now, draw)

    def grant(self, count, now, wait_s=0.0, waiting=0):
        ask = QuotaAsk(0.0, waiting=waiting)
        grant = QuotaGrant(count, 1.0, wait_s)
        self.quotas.record_grant("a", ask, grant, now, now)

    def test_account_without_a_limit(self):
        self.assertIs(self.admit(START, Account("free")), ADMITTED)
        self.assertEqual(self.quotas.by_account, {})

    def test_first_request_asks(self):
        self.assertIs(self.admit(START), ASKS)
        self.quotas.begin_wait(ACCOUNT)
        self.assertEqual(self.quotas.due(START), ["a"])
        self.assertEqual(self.quotas.asks(["a"], START)["a"].waiting, 1)
        self.grant(1, START, waiting=1)
        self.assertIs(self.quotas.end_wait(ACCOUNT, START), ADMITTED)
        self.assertEqual(self.quotas.due(START), [])

    def test_grants_are_used_until_the_lease_ends(self):
        self.admit(START)
        self.grant(3, START)
        self.assertIs(self.admit(START + 0.1), ADMITTED)
        self.assertIs(self.admit(START + LEASE_S), ASKS)

    def test_grant_of_a_request_that_gave_up_is_dropped(self):
        """The allocator counts it as used and would grant it twice."""
        self.admit(START)
        self.quotas.begin_wait(ACCOUNT)
        asks = self.quotas.asks(["a"], START)
        self.quotas.cancel_wait(ACCOUNT)
        grant = QuotaGrant(1, 1.0, 0.0)
        self.quotas.record_grant("a", asks["a"], grant, START, START)
        self.assertEqual(self.quotas.by_account["a"].held, 0)

    def test_refusal_at_once_until_credit_returns(self):
        self.admit(START)
        self.grant(0, START, wait_s=1.5)
        refused = self.admit(START + 0.5)
        self.assertFalse(refused.admitted or refused.asks)
        self.assertAlmostEqual(refused.wait_s, 1.0)
        self.assertIs(self.admit(START + 1.6), ASKS)

    def test_request_without_an_answer_is_refused(self):
        self.admit(START)
        self.quotas.begin_wait(ACCOUNT)
        refused = self.quotas.end_wait(ACCOUNT, START + 0.2)
        self.assertFalse(refused.admitted)
        self.assertGreater(refused.wait_s, 0.0)

    def test_refund(self):
        self.admit(START)
        self.grant(1, START)
        self.assertIs(self.admit(START), ADMITTED)
        self.quotas.refund(ACCOUNT, START + 0.1)
        self.assertIs(self.admit(START + 0.2), ADMITTED)
        self.assertEqual(self.quotas.used["a"][:2], [1, 0])

    def test_lower_limit_takes_effect_at_once(self):
        self.admit(START)
        self.grant(30, START)
        lower = Account("a", rate_per_s=1.0, burst=1.0)
        results = [self.admit(START + 0.1, lower) for _ in range(30)]
        self.assertLess(results.count(ADMITTED), 10)

    def test_rare_requests_need_no_message(self):
        """Together, hosts without grants admit a part of the slack."""
        now = START + 1000.0
        admitted = 0
        for number in range(1, 5001):
            account = Account(f"a{number}", rate_per_s=1.0)
            admitted += self.admit(now, account, number / 5000.0).admitted
        depth = TERMS.unleased() / 68.0 / 2.0
        self.assertAlmostEqual(admitted / 5000.0, depth, places=2)

    def test_host_that_has_restarted_has_no_allowance(self):
        """Else hosts that are killed again and again exceed the quota."""
        self.assertIs(self.admit(START + 0.1, draw=1e-9), ASKS)

    def test_use_without_a_grant_is_reported_once_answered(self):
        now = START + 1000.0
        self.assertIs(self.admit(now, draw=1e-9), ADMITTED)
        asks = self.quotas.asks(["a"], now)
        self.assertEqual(asks["a"].charged, 1)
        self.quotas.record_unanswered(asks)
        self.assertEqual(self.quotas.asks(["a"], now)["a"].charged, 1)
        self.assertEqual(self.quotas.asks(["a"], now)["a"].charged, 0)

    def test_unused_grants_are_returned_before_the_lease_ends(self):
        self.admit(START)
        self.grant(5, START)
        self.assertEqual(self.quotas.due(START + 1.0), [])
        now = START + LEASE_S - 0.4
        self.assertGreater(now - START, IDLE_S)
        self.assertEqual(self.quotas.due(now), ["a"])
        ask = self.quotas.asks(["a"], now)["a"]
        self.assertEqual((ask.returned, ask.held, ask.per_s), (5, 0, 0.0))

    def test_idle_accounts_are_forgotten(self):
        for number in range(1000):
            self.admit(START, Account(f"a{number}", rate_per_s=1.0))
        self.assertEqual(self.quotas.due(START + 0.1), [])
        self.quotas.prune(START + MEMORY_S + 1.0)
        self.assertEqual(self.quotas.by_account, {})

    def test_report_is_bounded(self):
        for number in range(MAX_REPORTED + 50):
            account = Account(f"a{number}", rate_per_s=1.0)
            self.admit(START, account)
            self.quotas.begin_wait(account)
            self.quotas.end_wait(account, START)
        self.assertEqual(len(self.quotas.take_used()), MAX_REPORTED)
        self.assertEqual(self.quotas.take_used(), {})


if __name__ == "__main__":
    unittest.main()
