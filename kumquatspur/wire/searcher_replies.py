"""Builds a client's answer from the responses of searchers."""

from kumquatspur.core.reason import Reason
from kumquatspur.core.routing import ClientReply, Route, SearcherReply
from kumquatspur.platform import headers
from kumquatspur.policy.records_merge import greatest_records
from kumquatspur.wire.error_replies import NOT_RUN_STATUSES, error_reply


def answer_reply(
    route: Route, parts: list[SearcherReply], missing: int
) -> ClientReply:
    """Returns the answer to a request.

    Args:
        route: Its route.
        parts: The accepted responses; one for a forwarded request.
        missing: Number of shards that are left out.
    """
    if not route.shards:
        (part,) = parts
        return ClientReply(part.status, part.headers, part.body)
    return headers.merged_reply(
        [part.signature for part in parts],
        missing,
        greatest_records((part.body for part in parts), route.result_limit),
    )


def failure_reply(
    failure: SearcherReply | None, is_timed_out: bool
) -> ClientReply:
    """Returns the answer to a request that failed and may have run.

    Args:
        failure: The last error response of its searcher; None if there was none
            or if the request was scattered.
        is_timed_out: Whether the deadline has passed.
    """
    # A forwarded request gets the error response of its searcher, unless the
    # status of that response would say that nothing ran.
    if (
        failure is not None
        and failure.signature
        and not failure.has_content_encoding
        and failure.status not in NOT_RUN_STATUSES
    ):
        return ClientReply(failure.status, failure.headers, failure.body)
    if is_timed_out:
        return error_reply(504, Reason.TIMED_OUT)
    return error_reply(502, Reason.UPSTREAM_FAILED)
