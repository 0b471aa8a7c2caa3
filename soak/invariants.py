"""Invariants that must not be violated under any fault.

Checked from the replies that clients received and the executions that searchers
counted.
"""

import dataclasses

from kumquatspur.core.reason import Reason
from soak.faults import Environment
from standins.limit_rule import CONTACT_S, WINDOW_S, allowed, most_in_window
from standins.platform_deployment import RECORD_BYTES, PlatformDeployment

RESULT_LIMIT = 5
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass
class ClientRequest:
    """A request and its reply.

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
    deployment: PlatformDeployment, requests: list[ClientRequest]
) -> list[str]:
    """Returns a description of each violated invariant.

    Args:
        deployment: The deployment.
        requests: All requests.
    """
    searchers = deployment.searchers
    violations = []
    for request in requests:
        runs = sum(s.runs[request.request_id] for s in searchers.values())
        if not request.repeatable and runs > 1:
            violations.append(f"{request.request_id}: ran {runs} times")
        if request.reply is None:
            continue
        status = request.reply[0]
        refused = status in NOT_RUN_STATUSES
        if refused and not request.repeatable and runs:
            violations.append(f"{request.request_id}: {status}, but it ran")
        if Reason.CRASHES_UPSTREAMS.encode() in request.reply[2]:
            # The soak has no content that crashes searchers.
            violations.append(
                f"{request.request_id}: content refused as crashing"
            )
        if 200 <= status < 300:
            check = (
                _check_scattered if request.path[1:4] == "all" else _check_one
            )
            error = check(searchers, request)
            if error:
                violations.append(f"{request.request_id}: {error}")
    return violations


def find_exceeded_limits(environment: Environment) -> list[str]:
    """Returns a description of each limit that searchers' requests exceeded.

    Requests that clients sent to a disturbed host do not count, as in the
    users' rule.

    Args:
        environment: The environment, with the limits and disturbed hosts.
    """
    violations = []
    for limit in environment.limits:
        searcher = environment.deployment.searchers[limit.searcher]
        counted = [
            at
            for at, request_id in searcher.arrived
            if at < limit.until
            and receiving_host(request_id) not in environment.disturbed
        ]
        found = most_in_window(counted, limit.since + CONTACT_S)
        if found > allowed(limit.per_s):
            violations.append(
                f"{limit.searcher}: {found} requests in {WINDOW_S:g} s, named "
                f"a limit of {limit.per_s} a second"
            )
    return violations


def receiving_host(request_id: str) -> str:
    """Returns the host that a request of a client was sent to.

    Args:
        request_id: Seed, host, number of the client and number of the request,
            separated by hyphens.
    """
    return request_id.partition("-")[2].rsplit("-", 2)[0]


def _check_scattered(searchers, request: ClientRequest) -> str:
    _, fields, body = request.reply
    seals = fields.get("kumquatspur-part-seals", "").split(", ")
    services, records = set(), []
    for seal in seals:
        name, _, request_id = seal.partition(".")
        searcher = searchers.get(name)
        if searcher is None or request_id != request.request_id:
            return f"seal of an unknown searcher or another request: {seal}"
        if searcher.service in services:
            return f"two parts from shard {searcher.service}"
        services.add(searcher.service)
        records += searcher.records
    total = len(services) + int(fields["kumquatspur-missing-parts"])
    shards = {s.service for s in searchers.values() if s.records}
    if total != len(shards) or not services <= shards:
        return f"{len(services)} parts do not match {len(shards)} shards"
    wanted = b"".join(sorted(records, reverse=True)[:RESULT_LIMIT])
    if body != wanted:
        return (
            f"not the greatest records: got {len(body) // RECORD_BYTES} records"
        )
    return ""


def _check_one(searchers, request: ClientRequest) -> str:
    _, fields, body = request.reply
    name, _, request_id = fields.get("kumquatspur-server-seal", "").partition(
        "."
    )
    if name not in searchers or request_id != request.request_id:
        return "seal of an unknown searcher or another request"
    wanted = b""
    if not request.repeatable:
        wanted = b"POST %b %b" % (request.path.encode(), request.body)
    return "" if body == wanted else "body differs from the searcher's answer"
