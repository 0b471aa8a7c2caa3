import io
import unittest
from unittest import mock

import eventlet

from kumquatspur.platform import documents
from kumquatspur.platform.documents import SEARCHER_PREFIX
from kumquatspur.platform.store import StoreView
from kumquatspur.wire.containment import (
    REPORT_INTERVAL_S,
    Containment,
    PeriodicTask,
    run_due,
)
from kumquatspur.wire.json_http import CLOSE_KEY
from kumquatspur.wire.peer_exchange import MAX_MESSAGE_BYTES, PeerExchange
from kumquatspur.wire.store_mirror import StoreMirror
from kumquatspur.wire.store_mirror_test import item
from kumquatspur.wire.store_watch import StoreWatch
from standins.platform_deployment import new_test_state


class ContainmentTest(unittest.TestCase):
    def setUp(self):
        self.state = new_test_state()
        self.state.log = mock.Mock()

    def logged(self):
        return [
            (call.kwargs["task"], call.kwargs)
            for call in self.state.log.write.call_args_list
            if call.args[0] == "internal_error"
        ]

    def test_failing_task_does_not_stop_the_others(self):
        """Guards against one odd input ending the main loop (review/1)."""
        ran = []

        def fail(now):
            raise KeyError("i-odd")

        tasks = [
            PeriodicTask("failing", fail),
            PeriodicTask("sound", ran.append),
            PeriodicTask("seldom", ran.append, 5.0, 1.0),
        ]
        with self.assertLogs("kumquatspur.wire.containment"):
            run_due(self.state, tasks, 1.0)
            run_due(self.state, tasks, 2.0)
        self.assertEqual(ran, [1.0, 2.0])
        self.assertEqual(self.state.counters["internal_errors"], 2)

    def test_repeated_error_is_logged_once_with_its_task_and_input(self):
        """Guards against a task that floods the log, or hides an error."""
        with self.assertLogs("kumquatspur.wire.containment") as logs:
            for name in ("i-1", "i-2"):
                with Containment(self.state, "apply", key=name):
                    raise ValueError("odd")
        self.assertEqual(len(logs.records), 1)
        ((task, fields),) = self.logged()
        self.assertEqual(task, "apply")
        self.assertEqual(fields["key"], "i-1")
        self.assertIn("odd", fields["error"])

        key = ("apply", ValueError)
        at, repeated = self.state.errors_reported[key]
        self.assertEqual(repeated, 1)
        earlier = at - REPORT_INTERVAL_S
        self.state.errors_reported[key] = (earlier, repeated)
        with self.assertLogs("kumquatspur.wire.containment"):
            with Containment(self.state, "apply", key="i-3"):
                raise ValueError("odd")
        self.assertEqual(self.logged()[-1][1]["repeated"], 1)

    def test_kill_of_a_green_thread_is_not_contained(self):
        def run():
            with Containment(self.state, "task"):
                eventlet.sleep(60.0)
            self.fail("went on after its kill")

        thread = eventlet.spawn(run)
        eventlet.sleep(0)
        thread.kill()
        self.assertEqual(self.state.counters["internal_errors"], 0)

    def test_item_that_fails_does_not_stop_the_items_after_it(self):
        """Guards against an odd entry after which hosts follow no change."""
        mirror = StoreMirror(self.state)
        decode = documents.decode_searcher

        def fail_on_odd(key, value):
            if key.endswith("odd"):
                raise OverflowError("int too large to convert to float")
            return decode(key, value)

        with (
            mock.patch.object(documents, "decode_searcher", fail_on_odd),
            self.assertLogs("kumquatspur.wire.containment"),
        ):
            read = (item("i-1", 1), item("i-odd", 2), item("i-2", 3))
            mirror.replace(StoreView(3, read), 0.0, 0.0, "store")
            self.assertEqual(set(self.state.directory.by_id), {"i-1", "i-2"})
            changes = (item("i-odd", 4), item("i-3", 5))
            mirror.apply(StoreView(5, changes), 1.0, 1.0, "store")
        self.assertIn("i-3", self.state.directory.by_id)
        self.assertEqual(self.logged()[0][1]["key"], f"{SEARCHER_PREFIX}i-odd")

    def test_watch_goes_on_after_an_unexpected_error(self):
        """Guards against a host that follows neither store nor watcher."""
        mirror = StoreMirror(self.state)
        store = mock.Mock()
        views = [RuntimeError("odd"), StoreView(7, (item("i-1", 7),))]

        def read_all(prefix):
            view = views.pop(0)
            if not views:
                self.state.ended = True
            if isinstance(view, Exception):
                raise view
            return view

        store.read_all = read_all
        follow = mock.Mock(side_effect=[OverflowError("odd"), False])
        watch = StoreWatch(self.state, store, mirror, follow)
        with (
            mock.patch.object(eventlet, "sleep") as sleep,
            self.assertLogs("kumquatspur.wire.containment"),
        ):
            watch.run()
        self.assertIn("i-1", self.state.directory.by_id)
        self.assertEqual(
            [task for task, _ in self.logged()],
            ["follow_watcher", "watch_store"],
        )
        # All hosts may read the whole store after the same error.
        sleep.assert_called_once()

    def test_watch_does_not_read_the_store_without_delay(self):
        """Guards against hosts that read the store again and again."""
        mirror = StoreMirror(self.state)
        store = mock.Mock()
        store.read_all = lambda _: StoreView(7, ())
        follow = mock.Mock(side_effect=OverflowError("odd"))
        delays = []

        def sleep(seconds):
            delays.append(seconds)
            self.state.ended = len(delays) == 2000

        watch = StoreWatch(self.state, store, mirror, follow)
        with (
            mock.patch.object(eventlet, "sleep", sleep),
            self.assertLogs("kumquatspur.wire.containment"),
        ):
            watch.run()
        self.assertEqual(follow.call_count, 2000)
        self.assertEqual(delays[:5], [2.0, 4.0, 8.0, 8.0, 8.0])
        self.assertEqual(set(delays[5:]), {8.0})

    def test_message_of_a_peer_with_an_odd_length_is_not_read(self):
        """Guards against a peer whose message fills the memory."""
        exchange = PeerExchange(self.state, mock.Mock(), mock.Mock(), {})
        for length in (-1, MAX_MESSAGE_BYTES + 1):
            source, close, start = mock.Mock(), mock.Mock(), mock.Mock()
            environ = {
                "PATH_INFO": "/exchange",
                "CONTENT_LENGTH": str(length),
                "wsgi.input": source,
                CLOSE_KEY: close,
            }
            exchange._serve(environ, start)
            self.assertEqual(start.call_args.args[0], "400 Bad Request")
            source.read.assert_not_called()
            close.assert_called_once()

    def test_message_that_fails_is_answered_and_logged(self):
        def fail(data):
            raise KeyError("odd")

        exchange = PeerExchange(
            self.state, mock.Mock(), mock.Mock(), {"/odd": fail}
        )
        environ = {"PATH_INFO": "/odd", "wsgi.input": io.BytesIO()}
        start = mock.Mock()
        with self.assertLogs("kumquatspur.wire.containment"):
            exchange._serve(environ, start)
        self.assertEqual(start.call_args.args[0], "500 Internal Server Error")
        self.assertEqual(self.logged()[0][1]["path"], "/odd")


if __name__ == "__main__":
    unittest.main()
