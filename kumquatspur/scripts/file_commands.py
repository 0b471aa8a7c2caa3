"""The `config put` and `config remove` commands.

They use the administration API of a daemon.
"""

import pathlib
import urllib.parse

from kumquatspur.core.records import Diagnostic
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json

_EXIT_CODES = {
    200: http_calls.EXIT_OK,
    409: http_calls.EXIT_CONFLICT,
    412: http_calls.EXIT_CONFLICT,
    503: http_calls.EXIT_UNREACHABLE,
}


def run_put(arguments) -> int:
    """Adds or replaces one configuration file.

    Args:
        arguments: A `PutCommand`.

    Returns:
        The exit code.
    """
    path = pathlib.Path(arguments.file)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        print_errors([Diagnostic(str(path), f"cannot be read: {error}")])
        return http_calls.EXIT_BAD_INPUT
    return _change(arguments, "PUT", path.name, text)


def run_remove(arguments) -> int:
    """Removes one configuration file.

    Args:
        arguments: A `RemoveCommand`.

    Returns:
        The exit code.
    """
    return _change(arguments, "DELETE", arguments.name, None)


def _change(arguments, method: str, name: str, text: str | None) -> int:
    address, errors = http_calls.parse_address(arguments.admin)
    if errors:
        print_errors(errors)
        return http_calls.EXIT_BAD_INPUT
    revision, errors = _base_revision(arguments, address)
    if not errors:
        path = f"/v1/config/files/{urllib.parse.quote(name, safe='')}"
        reply, errors = http_calls.call_text(
            method,
            address,
            path + ("?dry_run=1" if arguments.dry_run else ""),
            text,
            {
                "Authorization": f"Bearer {arguments.admin_key}",
                "If-Match": f'"{revision}"',
            },
        )
    if errors:
        print_errors(errors)
        return http_calls.EXIT_UNREACHABLE
    _print_reply(arguments, name, reply)
    return _EXIT_CODES.get(reply.status, http_calls.EXIT_BAD_INPUT)


def _base_revision(arguments, address):
    if arguments.revision is not None:
        return arguments.revision, []
    reply, errors = http_calls.call(
        "GET", address, "/v1/config", key=arguments.admin_key
    )
    if not errors and reply.status != 200:
        message = reply.body["error"]["message"]
        errors = [Diagnostic(arguments.admin, message)]
    return (0 if errors else reply.body["revision"]), errors


def _print_reply(arguments, name: str, reply) -> None:
    if arguments.json:
        print_json(reply.body)
    elif reply.status != 200:
        error = reply.body["error"]
        verdict = reply.body["verdict"]
        message = f"{error['reason']}: {error['message']} ({verdict})"
        print_errors([Diagnostic(name, message)])
    elif arguments.dry_run:
        print(f"{name} would be accepted")
    else:
        print(f"revision {reply.body['revision']} accepted; changed: {name}")
