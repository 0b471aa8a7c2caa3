"""The designs behind the settings switch `design`.

"owner" is the product's design. "direct" and "two_choices" are baselines for
measurements: every entry host calls every searcher itself, one item a request,
over its share of the searcher's connections.
"""

from kumquatspur.controllers.node_state import NodeState
from kumquatspur.core.records import Searcher, Service, record
from kumquatspur.policy import baselines
from kumquatspur.policy.replica_choice import Replica, choose_replica
from kumquatspur.policy.searcher_queue import MAX_BATCH_ITEMS, SearcherQueue

# Share of retries that Envoy and Finagle allow by default.
RETRY_SHARE = 0.2
# An attempt is given up after this share of the service's deadline.
ATTEMPT_SHARE = 0.5


def _owner_choice(node, shard, replicas, now):
    return choose_replica(replicas, node.rng)


def _round_robin_choice(node, shard, replicas, now):
    index = node.round_robin_indexes.get(shard)
    if index is None:
        index = node.rng.randrange(len(replicas) or 1)
    node.round_robin_indexes[shard] = index + 1
    return baselines.choose_round_robin(replicas, index)


def _two_choices(node, shard, replicas, now):
    return baselines.choose_of_two(replicas, node.rng)


@record
class Design:
    """How a design differs from the others.

    Attributes:
        choose: Function of blackboard, shard, replicas and time that returns
            the `Replica` to ask.
        batches: Whether waiting items share a request.
        throttles: Whether queries are refused while owners decline work.
        single_owner: Whether each searcher has one owner among the hosts.
        second_attempts: Whether late shards are tried again.
        cancels_first: Whether a second attempt ends the first one.
    """

    choose: object
    batches: bool
    throttles: bool
    single_owner: bool
    second_attempts: bool
    cancels_first: bool


_DESIGNS = {
    "owner": Design(_owner_choice, True, True, True, True, False),
    "direct": Design(_round_robin_choice, False, False, False, False, False),
    "two_choices": Design(_two_choices, False, False, False, True, True),
}


def design_of(node: NodeState) -> Design:
    """Returns the design that a node runs."""
    return _DESIGNS[node.settings.design]


def choose(
    node: NodeState, shard: str, replicas: list[Replica], now: float
) -> Replica | None:
    """Chooses a replica as the node's design does.

    Args:
        node: The state of this node.
        shard: The shard to search.
        replicas: The candidates.
        now: The current time.

    Returns:
        The replica to ask, or None if there is none.
    """
    return design_of(node).choose(node, shard, replicas, now)


def extra_share(node: NodeState, service: Service) -> float:
    """Returns the share of extra attempts allowed."""
    if design_of(node).cancels_first:
        return RETRY_SHARE
    return service.profile.hedge_share


def attempt_timeout_s(node: NodeState, service: Service) -> float | None:
    """Returns the time-out of one attempt, in seconds.

    Returns:
        None if the design waits for the hedge delay instead.
    """
    if not design_of(node).cancels_first:
        return None
    return service.profile.deadline_ms / 1000.0 * ATTEMPT_SHARE


def limit_queue(node: NodeState, queue: SearcherQueue) -> None:
    """Sets a queue's bounds: requests at once and items a request.

    Args:
        node: The state of this node.
        queue: The queue of a searcher that this node calls.
    """
    searcher = queue.searcher
    if design_of(node).single_owner:
        queue.max_calls = searcher.slots
        queue.max_batch = MAX_BATCH_ITEMS
        return
    queue.max_calls = connection_share(searcher, 1 + len(node.members))
    queue.max_batch = 1


def connection_share(searcher: Searcher, hosts: int) -> int:
    """Returns one host's share of a searcher's connections, at least one."""
    return max(1, searcher.connections // hosts)
