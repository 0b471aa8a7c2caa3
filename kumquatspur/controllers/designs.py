"""The designs behind the settings switch `design`.

"owner" is the product's design. "direct" and "two_choices" are baselines for
measurements: every entry host calls every searcher itself, one item a request,
over its share of the searcher's connections.
"""

from kumquatspur.controllers.blackboard import Blackboard
from kumquatspur.core.records import Searcher, Service, record
from kumquatspur.policy import baselines
from kumquatspur.policy.replica_choice import Replica, choose_replica
from kumquatspur.policy.searcher_queue import MAX_BATCH_ITEMS, SearcherQueue

# Share of retries that Envoy and Finagle allow by default.
RETRY_SHARE = 0.2
# An attempt is given up after this share of the service's deadline.
ATTEMPT_SHARE = 0.5


def _owner_choice(board, shard, replicas, now):
    return choose_replica(replicas, board.rng)


def _round_robin_choice(board, shard, replicas, now):
    turn = board.turns.get(shard)
    if turn is None:
        turn = board.rng.randrange(len(replicas) or 1)
    board.turns[shard] = turn + 1
    return baselines.choose_round_robin(replicas, turn)


def _two_choices(board, shard, replicas, now):
    return baselines.choose_of_two(replicas, board.rng)


@record
class Design:
    """How a design differs from the others.

    Attributes:
        choose: Function of blackboard, shard, replicas and time that returns
            the `Replica` to ask.
        batches: Whether waiting items share a request.
        throttles: Whether queries are refused while owners decline work.
        shares_owners: Whether each searcher has one owner among the hosts.
        second_attempts: Whether late shards are tried again.
        cancels_first: Whether a second attempt ends the first one.
    """

    choose: object
    batches: bool
    throttles: bool
    shares_owners: bool
    second_attempts: bool
    cancels_first: bool


_DESIGNS = {
    "owner": Design(_owner_choice, True, True, True, True, False),
    "direct": Design(_round_robin_choice, False, False, False, False, False),
    "two_choices": Design(_two_choices, False, False, False, True, True),
}


def design_of(board: Blackboard) -> Design:
    """Returns the design that a node runs."""
    return _DESIGNS[board.settings.design]


def choose(
    board: Blackboard, shard: str, replicas: list[Replica], now: float
) -> Replica | None:
    """Chooses a replica as the node's design does.

    Args:
        board: The blackboard.
        shard: The shard to search.
        replicas: The candidates.
        now: The current time.

    Returns:
        The replica to ask, or None if there is none.
    """
    return design_of(board).choose(board, shard, replicas, now)


def extra_share(board: Blackboard, service: Service) -> float:
    """Returns the share of extra attempts allowed."""
    if design_of(board).cancels_first:
        return RETRY_SHARE
    return service.profile.hedge_share


def attempt_timeout_s(board: Blackboard, service: Service) -> float | None:
    """Returns the time-out of one attempt, in seconds.

    Returns:
        None if the design waits for the hedge delay instead.
    """
    if not design_of(board).cancels_first:
        return None
    return service.profile.deadline_ms / 1000.0 * ATTEMPT_SHARE


def limit_queue(board: Blackboard, queue: SearcherQueue) -> None:
    """Sets a queue's bounds: requests at once and items a request.

    Args:
        board: The blackboard.
        queue: The queue of a searcher that this node calls.
    """
    searcher = queue.searcher
    if design_of(board).shares_owners:
        queue.max_calls = searcher.slots
        queue.max_batch = MAX_BATCH_ITEMS
        return
    queue.max_calls = connection_share(searcher, 1 + len(board.members))
    queue.max_batch = 1


def connection_share(searcher: Searcher, hosts: int) -> int:
    """Returns one host's share of a searcher's connections, at least one."""
    return max(1, searcher.connections // hosts)
