"""Order of views of the metadata store.

Load pattern: after a disaster drill the store comes back from a copy some
seconds old. It hands out revisions again that hosts have already seen, with
other content, and its era is higher. Hosts learn of this at different moments,
so a revision alone does not tell which of two views is newer.
"""

import dataclasses

# Era of a view from a store or a host that names none.
UNKNOWN_ERA = -1


@dataclasses.dataclass(frozen=True, slots=True)
class StorePosition:
    """The state of the store that a view shows.

    Attributes:
        era: Number of the store's era; it rises with each restore.
        revision: Revision of the store within the era.
    """

    era: int
    revision: int


def is_same_era(era: int, other: int) -> bool:
    """Returns whether two eras are the same, or one of them is unknown."""
    return UNKNOWN_ERA in (era, other) or era == other


def is_newer(position: StorePosition, other: StorePosition) -> bool:
    """Returns whether a position is newer than another one.

    If an era is unknown, the revisions decide.
    """
    if is_same_era(position.era, other.era):
        return position.revision > other.revision
    return position.era > other.era
