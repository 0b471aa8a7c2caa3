"""The `status`, `config status` and `report burn` commands."""

from kumquatspur.core.records import Diagnostic
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json


def run_status(arguments) -> int:
    """Shows the state of daemons.

    Args:
        arguments: A `StatusCommand`.

    Returns:
        The exit code.
    """
    bodies, errors = _ask_all(arguments, "/v1/status")
    if arguments.json:
        print_json({"daemons": bodies, "unreachable": _sources(errors)})
    else:
        for body in bodies:
            alive = sum(member["alive"] for member in body["members"])
            print(
                f"{body['name']} ({body['zone']}): revision"
                f" {body['revision']}, {alive} of {len(body['members'])}"
                f" peers alive, owns {len(body['owned'])} searchers"
            )
        print_errors(errors)
    return http_calls.EXIT_UNREACHABLE if errors else http_calls.EXIT_OK


def run_config_status(arguments) -> int:
    """Shows which daemons have which revision in force.

    Args:
        arguments: A `ConfigStatusCommand`.

    Returns:
        The exit code.
    """
    bodies, errors = _ask_all(arguments, "/v1/status")
    revisions = {body["name"]: body["revision"] for body in bodies}
    for body in bodies:
        for member in body["members"]:
            revisions.setdefault(member["name"], member["revision"])
    if arguments.json:
        print_json({"revisions": revisions, "unreachable": _sources(errors)})
    else:
        for name, revision in sorted(revisions.items()):
            print(f"{name}: revision {revision}")
        print_errors(errors)
    return http_calls.EXIT_UNREACHABLE if errors else http_calls.EXIT_OK


def run_burn(arguments) -> int:
    """Prints the share of each error budget that is spent.

    Args:
        arguments: A `BurnCommand`.

    Returns:
        The exit code.
    """
    bodies, errors = _ask_all(arguments, "/v1/metrics")
    rows = burn_rows(bodies)
    if arguments.json:
        print_json({"burn": rows, "unreachable": _sources(errors)})
    else:
        for row in rows:
            print(
                f"{row['service']} {row['objective']}: {row['bad']} bad of"
                f" {row['total']}, burn rate {row['burn_rate']:.2f}"
            )
        print_errors(errors)
    return http_calls.EXIT_UNREACHABLE if errors else http_calls.EXIT_OK


# Objective name to the counters of bad events and of all events.
_OBJECTIVES = {
    "latency": ("slow", ("answered",)),
    "coverage": ("partial", ("answered",)),
    "availability": ("refused", ("answered", "refused")),
}


def burn_rows(bodies: list[dict]) -> list[dict]:
    """Computes burn rates over several daemons' metrics.

    Args:
        bodies: The metrics of each daemon.

    Returns:
        A row a service and objective. A burn rate of 1 spends the error
        budget exactly at the rate that the objective allows.
    """
    totals, targets = {}, {}
    for body in bodies:
        targets.update(body["objectives"])
        for counter in body["counters"]:
            key = (counter["name"], counter["service"])
            totals[key] = totals.get(key, 0) + counter["value"]
    rows = []
    for service, objectives in sorted(targets.items()):
        for name, (bad_name, total_names) in _OBJECTIVES.items():
            bad = totals.get((bad_name, service), 0)
            total = sum(totals.get((n, service), 0) for n in total_names)
            budget = 1.0 - objectives[f"{name}_target"]
            rows.append(
                {
                    "service": service,
                    "objective": name,
                    "bad": bad,
                    "total": total,
                    "burn_rate": bad / total / budget if total else 0.0,
                }
            )
    return rows


def _ask_all(arguments, path: str):
    bodies, errors = [], []
    for text in arguments.admin:
        address, found = http_calls.parse_address(text)
        if not found:
            reply, found = http_calls.call(
                "GET", address, path, key=arguments.admin_key
            )
        if not found and reply.status != 200:
            found = [_refused(text, reply)]
        if found:
            errors.extend(found)
        else:
            bodies.append(reply.body)
    return bodies, errors


def _refused(text: str, reply):
    message = f"refused: {reply.body['error']['message']}"
    return Diagnostic(text, message)


def _sources(errors) -> list[str]:
    return [error.source for error in errors]
