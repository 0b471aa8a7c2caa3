"""The `status` and `config status` commands."""

from kumquatspur.core.records import Diagnostic
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json


def run_status(arguments) -> int:
    """Prints the state of daemons.

    Args:
        arguments: A `StatusCommand`.

    Returns:
        The exit code.
    """
    bodies, errors = read_from_daemons(arguments, "/v1/status")
    if arguments.json:
        print_json({"daemons": bodies, "unreachable": error_sources(errors)})
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
    """Prints the configuration revision in force at each daemon.

    Args:
        arguments: A `ConfigStatusCommand`.

    Returns:
        The exit code.
    """
    bodies, errors = read_from_daemons(arguments, "/v1/status")
    revisions = {body["name"]: body["revision"] for body in bodies}
    for body in bodies:
        for member in body["members"]:
            revisions.setdefault(member["name"], member["revision"])
    if arguments.json:
        print_json(
            {"revisions": revisions, "unreachable": error_sources(errors)}
        )
    else:
        for name, revision in sorted(revisions.items()):
            print(f"{name}: revision {revision}")
        print_errors(errors)
    return http_calls.EXIT_UNREACHABLE if errors else http_calls.EXIT_OK


def read_from_daemons(arguments, path: str):
    """Reads a resource from all daemons given on the command line.

    Args:
        arguments: A command with `admin` and `admin_key`.
        path: Path of the resource.

    Returns:
        The bodies of the successful replies, and the errors of the others.
    """
    bodies, errors = [], []
    for text in arguments.admin:
        address, daemon_errors = http_calls.parse_address(text)
        if not daemon_errors:
            reply, daemon_errors = http_calls.call(
                "GET", address, path, key=arguments.admin_key
            )
        if not daemon_errors and reply.status != 200:
            daemon_errors = [_refusal_diagnostic(text, reply)]
        if daemon_errors:
            errors.extend(daemon_errors)
        else:
            bodies.append(reply.body)
    return bodies, errors


def _refusal_diagnostic(text: str, reply):
    message = f"refused: {reply.body['error']['message']}"
    return Diagnostic(text, message)


def error_sources(errors) -> list[str]:
    """Returns the source of each error."""
    return [error.source for error in errors]
