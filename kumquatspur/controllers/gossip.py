"""Gossip state of one node: replicated entries of hosts and searchers."""

import collections
import dataclasses

import xxhash

from kumquatspur.core.actions import LogEvent
from kumquatspur.core.messages import MemberEntry, ReportEntry, Status

# Number of digest topics that the searchers' entries are divided into.
REPORT_TOPICS = 64
# Shortest time between two requests for entries of configured searchers.
MIN_MISSING_INTERVAL_S = 0.2

# Kinds of replicated entries.
MEMBER = "member"
REPORT = "report"


@dataclasses.dataclass(frozen=True)
class EntryKey:
    """Key of a replicated entry.

    Attributes:
        kind: `MEMBER` or `REPORT`.
        name: Name of the entry host or searcher.
    """

    kind: str
    name: str


@dataclasses.dataclass(frozen=True)
class Delivery:
    """How a changed entry is propagated.

    Attributes:
        origin: The root of the tree in this node's zone.
        relayed: Whether this zone's relay hosts send it to other zones too.
    """

    origin: str
    relayed: bool


class GossipState:
    """Replicated entries, entries still to be sent, and failure detection.

    Attributes:
        sequence: Version of this node's own entry.
        view_version: Incremented when the set of live hosts may have changed;
            cached placements of an older version are outdated.
        report_entries: The latest entry of each searcher.
        digests: Digest of all entries of a topic, by topic.
        mismatches: Consecutive digests received that differ, by topic.
        outgoing: Entries to be sent at the next flush.
        flush_due: Whether a `StateUpdateDue` timer is set.
        piggyback: Number of heartbeats that are still to carry each entry.
        pending_probes: When the unanswered probe of each host was sent.
        suspicion_ends: When each suspected host of this zone will be dead.
        hosts_to_probe: Hosts of this zone still to be probed in this round.
        zones_to_probe: Other zones still to be probed in this round.
        zone_probe_failures: Consecutive failed probes, by other zone.
        empty_since: Since when each zone with searchers has had no live host.
        failed_over_zones: Zones whose searchers are owned by hosts of others.
        log_events: Log events to be written.
        synced: Whether a reply to a state request was received since the start.
            Until then, all state is requested.
        requested_at: When state was last requested.
        missing_requested_at: When entries of configured searchers that had none
            were last requested.
        missing_interval_s: Time until they may be requested again.
        served_at: When a state request was last answered.
        last_heartbeat_at: When heartbeats were last sent.
    """

    def __init__(self):
        self.sequence = 0
        self.view_version = 0
        self.report_entries: dict[str, ReportEntry] = {}
        self.digests: dict[str, int] = collections.defaultdict(int)
        self.mismatches: dict[str, int] = collections.defaultdict(int)
        self.outgoing: dict[EntryKey, Delivery] = {}
        self.flush_due = False
        self.piggyback: dict[EntryKey, int] = {}
        self.pending_probes: dict[str, float] = {}
        self.suspicion_ends: dict[str, float] = {}
        self.hosts_to_probe: list[str] = []
        self.zones_to_probe: list[str] = []
        self.zone_probe_failures: dict[str, int] = collections.defaultdict(int)
        self.empty_since: dict[str, float] = {}
        self.failed_over_zones: set[str] = set()
        self.log_events: list[LogEvent] = []
        self.synced = False
        self.requested_at = 0.0
        self.missing_requested_at = 0.0
        self.missing_interval_s = MIN_MISSING_INTERVAL_S
        self.served_at = 0.0
        self.last_heartbeat_at = 0.0

    def put_report(self, entry: ReportEntry) -> None:
        """Stores a searcher's entry."""
        topic = report_topic(entry.searcher)
        old = self.report_entries.get(entry.searcher)
        if old is not None:
            self.digests[topic] ^= _report_hash(old)
        self.digests[topic] ^= _report_hash(entry)
        self.report_entries[entry.searcher] = entry

    def keep_reports(self, searchers) -> None:
        """Removes the entries of searchers that are no longer configured."""
        for name in self.report_entries.keys() - searchers:
            entry = self.report_entries.pop(name)
            self.digests[report_topic(name)] ^= _report_hash(entry)

    def toggle_in_digest(self, entry: MemberEntry) -> None:
        """Adds an entry to the digest of its zone, or removes it.

        The digest is an XOR of the entries of alive and suspected hosts, so
        that a second call reverts the first one.
        """
        if entry.status in (Status.ALIVE, Status.SUSPECT):
            text = f"{entry.name}:{entry.incarnation}:{entry.sequence}"
            self.digests[entry.zone] ^= xxhash.xxh3_64_intdigest(text.encode())


def report_topic(searcher: str) -> str:
    """Returns the digest topic of a searcher."""
    return f"#{xxhash.xxh3_64_intdigest(searcher.encode()) % REPORT_TOPICS}"


def _report_hash(entry: ReportEntry) -> int:
    text = f"{entry}"
    return xxhash.xxh3_64_intdigest(text.encode())
