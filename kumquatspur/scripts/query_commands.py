"""The `query` command."""

import json

from kumquatspur.core.records import Diagnostic
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json


def run_query(arguments) -> int:
    """Sends a query and prints the answer or the refusal.

    Args:
        arguments: A `QueryCommand`.

    Returns:
        The exit code.
    """
    body, errors = _body(arguments)
    address, address_errors = http_calls.parse_address(arguments.entry)
    if errors or address_errors:
        print_errors(errors + address_errors)
        return http_calls.EXIT_BAD_INPUT
    reply, errors = http_calls.call("POST", address, "/v1/query", body)
    if reply is None:
        print_errors(errors)
        return http_calls.EXIT_UNREACHABLE
    if arguments.json:
        print_json(reply.body)
    elif reply.status == 200:
        _print_answer(reply.body)
    else:
        _print_refusal(reply)
    return _exit_code(arguments, reply)


def _body(arguments):
    try:
        query = json.loads(arguments.query)
    except ValueError as error:
        return None, [Diagnostic("query", f"is not JSON: {error}")]
    body = {
        "service": arguments.service,
        "query": query,
        "limit": arguments.limit,
        "repeatable": not (arguments.once or arguments.idempotency_key),
        "idempotency_key": arguments.idempotency_key,
    }
    if arguments.deadline_ms is not None:
        body["deadline_ms"] = arguments.deadline_ms
    return body, []


def _exit_code(arguments, reply) -> int:
    if 400 <= reply.status < 500:
        return http_calls.EXIT_BAD_INPUT
    if reply.status != 200:
        return http_calls.EXIT_REFUSED
    if arguments.require_full and not reply.body["coverage"]["full"]:
        return http_calls.EXIT_REFUSED
    return http_calls.EXIT_OK


def _print_answer(body: dict) -> None:
    coverage = body["coverage"]
    covered = len(coverage["covered"])
    total = covered + len(coverage["missing"])
    print(
        f"request {body['request_id']}: snapshot {body['snapshot']},"
        f" {covered} of {total} shards, verdict {body['verdict']}"
    )
    for hit in body["hits"]:
        print(f"  {hit['score']:.6f}  {hit['shard']}  {hit['key']}")
    for missing in coverage["missing"]:
        print(
            f"  missing {missing['shard']}: {missing['reason']}"
            f" ({missing['verdict']})"
        )


def _print_refusal(reply) -> None:
    error = reply.body["error"]
    retry_after = reply.headers.get("Retry-After")
    hint = f"; try again in {retry_after} s" if retry_after else ""
    print(
        f"refused: {error['reason']}: {error['message']}"
        f" (verdict {reply.body['verdict']}{hint})"
    )
