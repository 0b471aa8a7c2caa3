"""The request routing designs that the setting `design` selects.

"owner" is the design for production. "direct" and "two_choices" are baselines
for measurements: every entry host calls every searcher itself, with one item
per request, over its share of the searcher's connections.
"""

from kumquatspur.controllers.node_state import NodeState
from kumquatspur.core.records import Searcher, Service, record
from kumquatspur.policy import baselines
from kumquatspur.policy.replica_choice import Replica, choose_replica
from kumquatspur.policy.searcher_queue import MAX_BATCH_ITEMS, SearcherQueue

# Share of second attempts in the design "two_choices". It is the default share
# of retries in Envoy and Finagle.
BASELINE_HEDGE_SHARE = 0.2
# An attempt times out after this share of the service's deadline.
ATTEMPT_TIMEOUT_SHARE = 0.5


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
    """Properties of a design.

    Attributes:
        choose: Function of node state, shard, replicas and time that returns
            the `Replica` to call.
        batches: Whether waiting items share a request.
        throttles: Whether queries are refused while owners decline work.
        single_owner: Whether each searcher is called by a single entry host.
        hedges: Whether late shards get a second attempt, called a hedge.
        cancels_first: Whether a second attempt cancels the first one.
    """

    choose: object
    batches: bool
    throttles: bool
    single_owner: bool
    hedges: bool
    cancels_first: bool


_DESIGNS = {
    "owner": Design(_owner_choice, True, True, True, True, False),
    "direct": Design(_round_robin_choice, False, False, False, False, False),
    "two_choices": Design(_two_choices, False, False, False, True, True),
}


def design_of(node: NodeState) -> Design:
    """Returns the design selected in the node's settings."""
    return _DESIGNS[node.settings.design]


def choose(
    node: NodeState, shard: str, replicas: list[Replica], now: float
) -> Replica | None:
    """Chooses a replica by the node's design.

    Args:
        node: The state of this node.
        shard: The shard to search.
        replicas: The candidates.
        now: The current time.

    Returns:
        The replica to call, or None if there is none.
    """
    return design_of(node).choose(node, shard, replicas, now)


def hedge_share(node: NodeState, service: Service) -> float:
    """Returns the allowed share of hedges, relative to first attempts."""
    if design_of(node).cancels_first:
        return BASELINE_HEDGE_SHARE
    return service.profile.hedge_share


def attempt_timeout_s(node: NodeState, service: Service) -> float | None:
    """Returns the timeout after which a second attempt replaces the first.

    Returns:
        Seconds, or None if second attempts do not cancel the first ones.
    """
    if not design_of(node).cancels_first:
        return None
    return service.profile.deadline_ms / 1000.0 * ATTEMPT_TIMEOUT_SHARE


def limit_queue(node: NodeState, queue: SearcherQueue) -> None:
    """Sets a queue's limits: concurrent requests and items per request.

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
    """Returns the number of a searcher's connections per host, at least one."""
    return max(1, searcher.connections // hosts)
