"""Models of the protocol between entry hosts and searchers, JSON over HTTP."""

import collections
import json
from typing import Any

import pydantic
import pydantic_core

from kumquatspur.core.actions import Item
from kumquatspur.core.events import ItemResult
from kumquatspur.core.reason import Reason
from kumquatspur.core.records import Hit, ShardResult
from kumquatspur.core.verdict import Verdict


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(allow_inf_nan=False)


class HitModel(_Model):
    """A match.

    Attributes:
        key: Identifier of the match in the shard.
        score: The score; higher is better.
        fields: Stored fields; any parsed JSON value.
    """

    key: str
    score: float
    fields: Any = None


class ItemResultModel(_Model):
    """Result of one item, in the body of a searcher's answer.

    Attributes:
        item_id: The item that the result belongs to.
        status: "ok", "not_run" or "snapshot_not_held"; the last two declare
            that the item was not executed.
        shard: The shard searched.
        snapshot: The snapshot searched.
        hits: The matches.
    """

    item_id: str
    status: str
    shard: str = ""
    snapshot: int = 0
    hits: list[HitModel] = []


class SearchReply(_Model):
    """Body of a searcher's answer.

    Attributes:
        items: Results, in no particular order.
        load: Number of waiting and running requests.
        draining: Whether the searcher is draining.
        held: The snapshots that the searcher has.
    """

    items: list[ItemResultModel]
    load: int = 0
    draining: bool = False
    held: list[int] = []


class StatusReply(_Model):
    """Body of a searcher's status.

    Attributes:
        held: The snapshots that the searcher has.
        draining: Whether the searcher is draining.
        load: Number of waiting and running requests.
    """

    held: list[int]
    draining: bool = False
    load: int = 0


def parse_reply(data: bytes) -> SearchReply | None:
    """Parses a searcher's answer.

    Args:
        data: The body.

    Returns:
        The answer, or None if it is malformed. NaN and infinite numbers are
        malformed because JSON does not have them.
    """
    try:
        raw = pydantic_core.from_json(data, allow_inf_nan=False)
        return SearchReply.model_validate(raw)
    except ValueError:
        return None


_REASON_BY_STATUS = {
    "not_run": Reason.REFUSED,
    "snapshot_not_held": Reason.SNAPSHOT_NOT_HELD,
}


def request_body(items: tuple[Item, ...], now: float) -> bytes:
    """Builds the body of a search request.

    Args:
        items: The items to search.
        now: The current time of the monotonic clock, in seconds.

    Returns:
        Encoded JSON text.
    """
    items_json = ", ".join(_item_json(item, now) for item in items)
    return f'{{"items": [{items_json}]}}'.encode()


def _item_json(item: Item, now: float) -> str:
    fields_json = json.dumps(
        {
            "item_id": item.item_id,
            "shard": item.shard,
            "snapshot": item.snapshot,
            "limit": item.limit,
            "deadline_ms": max(0.0, (item.deadline - now) * 1000.0),
            "repeatable": item.repeatable,
        }
    )
    # The query is already JSON text, so it is inserted without parsing.
    return f'{fields_json[:-1]}, "query": {item.content}}}'


def item_results(
    searcher: str, items: tuple[Item, ...], reply: SearchReply
) -> tuple[ItemResult, ...]:
    """Matches a searcher's results to the items that were sent.

    Results of items that were not sent are dropped. If an item has several
    results, or a result for another shard or snapshot, its verdict is
    MAY_HAVE_RUN.

    Args:
        searcher: The searcher's name.
        items: The items sent.
        reply: The searcher's answer.

    Returns:
        One result per item that was answered.
    """
    result_models = collections.defaultdict(list)
    for result_model in reply.items:
        result_models[result_model.item_id].append(result_model)
    held = tuple(sorted(reply.held))
    return tuple(
        ItemResult(
            item.item_id,
            _shard_result(searcher, item, result_models[item.item_id], held),
        )
        for item in items
        if item.item_id in result_models
    )


def _json_text(value) -> str:
    # A number that overflowed to infinity when parsed becomes null.
    return pydantic_core.to_json(value, inf_nan_mode="null").decode()


def _shard_result(
    searcher: str,
    item: Item,
    result_models: list[ItemResultModel],
    held: tuple[int, ...],
) -> ShardResult:
    result_model = result_models[0]
    reason = _REASON_BY_STATUS.get(result_model.status)
    if reason is not None and len(result_models) == 1:
        return ShardResult(
            item.shard, searcher, Verdict.NOT_RUN, reason, held=held
        )
    is_valid = (
        len(result_models) == 1
        and result_model.status == "ok"
        and result_model.shard == item.shard
        and result_model.snapshot == item.snapshot
    )
    if not is_valid:
        return ShardResult(
            item.shard, searcher, Verdict.MAY_HAVE_RUN, Reason.UPSTREAM_FAILED
        )
    hits = tuple(
        Hit(hit.score, item.shard, hit.key, _json_text(hit.fields))
        for hit in result_model.hits
    )
    return ShardResult(
        item.shard, searcher, Verdict.RAN, None, item.snapshot, hits
    )
