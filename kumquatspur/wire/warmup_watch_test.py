import unittest
import zlib

import msgpack
import msgspec

from kumquatspur.border import exchange_codec
from kumquatspur.border.exchange_codec import Exchange, WarmupStatement
from kumquatspur.core.records import Address
from kumquatspur.core.routing import (
    ClientLimits,
    Route,
    RoutingConfig,
    SearcherEntry,
    SearcherState,
    ServiceSpec,
    WeightedService,
)
from kumquatspur.policy.warmups import WarmupKind
from kumquatspur.wire import warmup_watch
from kumquatspur.wire.searcher_pool import CallError, monotonic_s
from standins.platform_deployment import new_test_state

ENTRY = SearcherEntry(
    "i", "s", Address("127.0.0.1", 1), "z", 2, SearcherState.READY, 0.0
)
OTHER = SearcherEntry(
    "j", "t", Address("127.0.0.1", 2), "z", 2, SearcherState.READY, 0.0
)
LOST = CallError("reset", connection_lost=True)
REFUSED = CallError("refused", sent=False, refused=True)
UNREACHED = CallError("connect timed out", sent=False, unresponsive=True)
LATE = CallError("no response", unresponsive=True)


def new_state(cold_per_s=5.0):
    state = new_test_state()
    route = Route(
        "r", "h", "/", True, 1.0, 0.1, 2, 0, (WeightedService("s", 1.0),)
    )
    services = {
        "s": ServiceSpec("s", 26, 10.0, cold_per_s, "/health"),
        "t": ServiceSpec("t", 26),
    }
    state.apply_config(
        RoutingConfig(1, (route,), services, ClientLimits()), "test"
    )
    for entry in (ENTRY, OTHER):
        state.directory.put(entry, 1.0)
    return state


class WarmupWatchTest(unittest.TestCase):
    def cold(self, state):
        return state.limits.cold_searchers(monotonic_s())

    def tell(self, state, left_s, kind, age_s=0.0):
        statement = WarmupStatement(
            searcher="i", left_s=left_s, kind=kind, age_s=age_s
        )
        warmup_watch.apply_statements(state, (statement,), "other")

    def test_searcher_that_was_gone_is_assumed_to_be_cold(self):
        for error in (LOST, REFUSED, UNREACHED):
            state = new_state()
            warmup_watch.observe_failure(state, ENTRY, error)
            self.assertEqual(self.cold(state), ["i"], str(error))

    def test_late_answer_or_a_service_without_a_rate_changes_nothing(self):
        """An overloaded searcher would lose its share for being late."""
        for state, entry, error in (
            (new_state(), ENTRY, LATE),
            (new_state(), OTHER, REFUSED),
            (new_state(0.0), ENTRY, REFUSED),
        ):
            warmup_watch.observe_failure(state, entry, error)
            warmup_watch.assume_zone_cold(state, "other zone", "test")
            self.assertEqual(state.limits.by_searcher, {})

    def test_statements_spread_with_their_age_but_assumptions_do_not(self):
        """A host without links would make all searchers cold everywhere."""
        state = new_state()
        self.tell(state, 10.0, "assumed")
        self.tell(state, 10.0, "of a later build")
        self.assertEqual(self.cold(state), [])
        self.tell(state, 10.0, "stated", age_s=9.0)
        until = state.warmups.by_searcher["i"].until
        self.assertAlmostEqual(until, monotonic_s() + 1.0, delta=0.2)
        self.tell(state, 0.0, "stated")
        self.assertEqual(self.cold(state), [])

    def test_searcher_that_refuses_connections_is_told_to_others(self):
        first, second = new_state(), new_state()
        warmup_watch.observe_failure(first, ENTRY, REFUSED)
        told = warmup_watch.statements(first, monotonic_s())
        warmup_watch.apply_statements(second, told, "first")
        self.assertEqual(self.cold(second), ["i"])

    def test_host_without_links_does_not_tell_that_searchers_are_gone(self):
        state = new_state()
        for entry in (ENTRY, OTHER):
            state.load(entry.searcher_id).record_unreachable(monotonic_s())
        warmup_watch.observe_failure(state, ENTRY, REFUSED)
        kind = state.warmups.by_searcher["i"].kind
        self.assertIs(kind, WarmupKind.ASSUMED)

    def test_zone_that_was_lost_is_assumed_to_be_cold(self):
        state = new_state()
        warmup_watch.assume_zone_cold(state, "z", "test")
        self.assertEqual(self.cold(state), ["i"])

    def test_messages_of_other_builds_are_understood(self):
        exchange = Exchange(
            name="a",
            zone="z",
            ip="10.0.0.1",
            port=1,
            link_mbps=1.0,
            cores=1.0,
            revision=0,
            age_s=0.0,
        )
        fields = msgspec.to_builtins(exchange)
        del fields["warmups"]
        older = exchange_codec.decode(zlib.compress(msgpack.packb(fields)))
        self.assertEqual(older.warmups, ())


if __name__ == "__main__":
    unittest.main()
