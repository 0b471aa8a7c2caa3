"""Models of the callers' HTTP API."""

import json
import math

import pydantic

from kumquatspur.border.validation import validation_diagnostics
from kumquatspur.core.records import Answer, Diagnostic, Query, Refusal


class QueryModel(pydantic.BaseModel):
    """Body of a query request.

    Attributes:
        service: The service to query.
        query: The query itself; any JSON value.
        limit: The maximum number of hits.
        deadline_ms: Time allowed for the answer; the service's default if
            absent.
        repeatable: Whether the query may be executed more than once.
        idempotency_key: Key for which at most one query is executed; "" for
            none.
        shards: The shards to search; empty for all.
    """

    model_config = pydantic.ConfigDict(extra="forbid", strict=True)

    service: str = pydantic.Field(min_length=1, max_length=80)
    query: pydantic.JsonValue
    limit: int = pydantic.Field(10, ge=1, le=1000)
    deadline_ms: int | None = pydantic.Field(None, ge=1)
    repeatable: bool = True
    idempotency_key: str = pydantic.Field("", max_length=200)
    shards: list[str] = pydantic.Field([], max_length=10_000)


def parse_query(
    body: bytes, max_deadline_ms: int
) -> tuple[QueryModel | None, list[Diagnostic]]:
    """Parses and checks the body of a query request.

    Args:
        body: The request body.
        max_deadline_ms: The longest deadline accepted.

    Returns:
        The model, or None, and the errors found.
    """
    try:
        raw = json.loads(
            body.decode("utf-8"),
            parse_constant=_reject_constant,
            parse_float=_parse_float,
        )
    except (ValueError, RecursionError) as error:
        return None, [Diagnostic("body", f"is not JSON: {error}")]
    try:
        model = QueryModel.model_validate(raw)
    except pydantic.ValidationError as error:
        return None, validation_diagnostics("body", error)
    if model.deadline_ms is not None and model.deadline_ms > max_deadline_ms:
        message = f"must be at most {max_deadline_ms}"
        return None, [Diagnostic("body: deadline_ms", message)]
    return model, []


def _reject_constant(text: str):
    raise ValueError(f"{text} is not a JSON number")


def _parse_float(text: str) -> float:
    number = float(text)
    if not math.isfinite(number):
        raise ValueError("a number is too large")
    return number


def build_query(
    model: QueryModel, request_id: str, now: float, default_deadline_ms: int
) -> Query:
    """Builds the core record of a query.

    Args:
        model: The validated body.
        request_id: The identifier assigned to the request.
        now: The current time of the monotonic clock, in seconds.
        default_deadline_ms: Deadline of a query that does not set one.

    Returns:
        The query.
    """
    deadline_ms = model.deadline_ms or default_deadline_ms
    return Query(
        request_id=request_id,
        service=model.service,
        content=json.dumps(model.query, sort_keys=True),
        limit=model.limit,
        deadline=now + deadline_ms / 1000.0,
        repeatable=model.repeatable,
        idempotency_key=model.idempotency_key,
        shards=tuple(model.shards),
    )


def answer_body(answer: Answer) -> dict:
    """Returns the JSON body of an answer."""
    total = len(answer.covered) + len(answer.missing)
    return {
        "request_id": answer.request_id,
        "verdict": str(answer.verdict),
        "snapshot": answer.snapshot,
        "hits": [
            {
                "key": hit.key,
                "score": hit.score,
                "shard": hit.shard,
                "fields": json.loads(hit.fields),
            }
            for hit in answer.hits
        ],
        "coverage": {
            "full": not answer.missing,
            "share": len(answer.covered) / total if total else 0.0,
            "covered": list(answer.covered),
            "missing": [
                {
                    "shard": missing.shard,
                    "reason": str(missing.reason),
                    "verdict": str(missing.verdict),
                }
                for missing in answer.missing
            ],
        },
    }


def refusal_body(refusal: Refusal) -> dict:
    """Returns the JSON body of a refusal."""
    return {
        "request_id": refusal.request_id,
        "verdict": str(refusal.verdict),
        "error": {
            "reason": str(refusal.reason),
            "message": refusal.message,
            "retry_after_s": refusal.retry_after_s,
        },
    }
