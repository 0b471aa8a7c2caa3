"""Cache of the placement of searchers."""

from kumquatspur.policy.ownership import Chunk


class PlacementCache:
    """Owners computed for one configuration and one view of the members.

    Attributes:
        searchers: The searchers that the pieces were computed from.
        chunks: Chunks by zone.
        key: What the owners were computed from.
        owners: By zone, the ranked hosts of each searcher.
        live: Names of the live hosts by zone.
        assigned: By zone, the pieces and hosts last assigned and the result.
    """

    def __init__(self):
        self.searchers = None
        self.chunks: dict[str, list[Chunk]] = {}
        self.key = None
        self.owners: dict[str, dict[str, list[str]]] = {}
        self.live: dict[str, list[str]] = {}
        self.assigned: dict[str, tuple] = {}
