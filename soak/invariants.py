"""What must hold whatever happens, from what clients and searchers see."""

import dataclasses

from kumquatspur.core.reason import Reason
from standins.platform_deployment import RECORD_BYTES, PlatformDeployment

RESULT_LIMIT = 5
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class ClientRequest:
    """A request and what its client saw.

    Attributes:
        request_id: Its identifier.
        path: Its path.
        repeatable: Whether it may run more than once.
        body: The body that was sent.
        reply: Status, headers in lower case and body; None if the connection
            ended without a response.
    """

    request_id: str
    path: str
    repeatable: bool
    body: bytes = b""
    reply: tuple | None = None


def find_violations(
    deployment: PlatformDeployment, seen: list[ClientRequest]
) -> list[str]:
    """Returns what went wrong, one line each.

    Args:
        deployment: The deployment.
        seen: All requests.
    """
    known = deployment.searchers
    found = []
    for item in seen:
        runs = sum(s.runs[item.request_id] for s in known.values())
        if not item.repeatable and runs > 1:
            found.append(f"{item.request_id}: ran {runs} times")
        if item.reply is None:
            continue
        status = item.reply[0]
        refused = status in NOT_RUN_STATUSES
        if refused and not item.repeatable and runs:
            found.append(f"{item.request_id}: {status}, but it ran")
        if Reason.CRASHES_UPSTREAMS.encode() in item.reply[2]:
            # No content crashes a searcher here.
            found.append(f"{item.request_id}: an innocent content is refused")
        if 200 <= status < 300:
            check = _check_scattered if item.path[1:4] == "all" else _check_one
            error = check(known, item)
            if error:
                found.append(f"{item.request_id}: {error}")
    return found


def _check_scattered(searchers, item: ClientRequest) -> str:
    _, fields, body = item.reply
    signatures = fields.get("kumquatspur-part-seals", "").split(", ")
    services, records = set(), []
    for signature in signatures:
        name, _, request_id = signature.partition(".")
        searcher = searchers.get(name)
        if searcher is None or request_id != item.request_id:
            return f"part of another request: {signature}"
        if searcher.service in services:
            return f"two parts of {searcher.service}"
        services.add(searcher.service)
        records += searcher.records
    total = len(services) + int(fields["kumquatspur-missing-parts"])
    shards = {s.service for s in searchers.values() if s.records}
    if total != len(shards) or not services <= shards:
        return f"{len(services)} parts do not make up {len(shards)} shards"
    wanted = b"".join(sorted(records, reverse=True)[:RESULT_LIMIT])
    if body != wanted:
        return f"not the greatest records: {len(body) // RECORD_BYTES}"
    return ""


def _check_one(searchers, item: ClientRequest) -> str:
    _, fields, body = item.reply
    name, _, request_id = fields.get("kumquatspur-server-seal", "").partition(
        "."
    )
    if name not in searchers or request_id != item.request_id:
        return "signature of another request"
    wanted = b""
    if not item.repeatable:
        wanted = b"POST %b %b" % (item.path.encode(), item.body)
    return "" if body == wanted else "not the searcher's body"
