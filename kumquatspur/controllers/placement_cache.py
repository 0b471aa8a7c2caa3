"""Cache of the placement of searchers."""

from kumquatspur.policy.ownership import Chunk


class PlacementCache:
    """Owners computed for one configuration and one set of live hosts.

    Attributes:
        searchers: The searchers that the chunks were computed from.
        chunks: Chunks of searchers that are assigned together, by zone.
        key: Version of the set of live hosts and configuration revision that
            the owners were computed from.
        owners: By zone, the ranked hosts of each searcher.
        live: Names of the live hosts by zone.
        assigned: By zone, the input and the result of the last assignment. The
            input is the chunks and the hosts.
    """

    def __init__(self):
        self.searchers = None
        self.chunks: dict[str, list[Chunk]] = {}
        self.key = None
        self.owners: dict[str, dict[str, list[str]]] = {}
        self.live: dict[str, list[str]] = {}
        self.assigned: dict[str, tuple] = {}
