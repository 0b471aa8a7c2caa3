"""The `config` commands that work on configuration folders and the store."""

import dataclasses
import getpass
import json
import pathlib

from kumquatspur.border.config_files import content_hash, load_configuration
from kumquatspur.core.records import Diagnostic
from kumquatspur.scripts import http_calls
from kumquatspur.scripts.output import print_errors, print_json
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.store_client import StoreClient, StoreUnavailableError

BASE_FILE = ".kumquatspur-base"


def read_folder(path: str) -> tuple[dict[str, str], list[Diagnostic]]:
    """Reads the files of a configuration folder.

    Args:
        path: The folder.

    Returns:
        The content of each .json file by name, and the errors found.
    """
    folder = pathlib.Path(path)
    if not folder.is_dir():
        return {}, [Diagnostic(path, "is not a folder")]
    files, errors = {}, []
    for entry in sorted(folder.glob("*.json")):
        try:
            files[entry.name] = entry.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            errors.append(Diagnostic(str(entry), f"cannot be read: {error}"))
    return files, errors


def run_check(arguments) -> int:
    """Checks a folder.

    Args:
        arguments: A `CheckCommand`.

    Returns:
        The exit code.
    """
    files, errors = read_folder(arguments.folder)
    if not errors:
        _, errors = load_configuration(files)
    if arguments.json:
        print_json({"files": sorted(files), "errors": _as_json(errors)})
    else:
        print_errors(errors)
    if errors:
        return http_calls.EXIT_BAD_INPUT
    if not arguments.json:
        print(f"{len(files)} files are correct")
    return http_calls.EXIT_OK


def run_push(arguments) -> int:
    """Makes a folder's files the next revision.

    The folder's base file contains the content hashes that the operator's
    edits started from. With it, files that only other operators changed in
    the store are kept.

    Args:
        arguments: A `PushCommand`.

    Returns:
        The exit code.
    """
    files, errors = read_folder(arguments.folder)
    if not errors:
        _, errors = load_configuration(files)
    base, base_errors = _read_base(arguments)

    def push(store: ConfigStore) -> int:
        result, conflicts = store.push(files, base, _author(arguments))
        if not conflicts:
            _write_base(arguments, files)
        return _print_change(arguments, result, conflicts)

    return _with_store(arguments, errors + base_errors, push)


def run_diff(arguments) -> int:
    """Compares a folder with the store.

    Args:
        arguments: A `DiffCommand`.

    Returns:
        The exit code.
    """
    files, errors = read_folder(arguments.folder)
    local = {name: content_hash(text) for name, text in files.items()}

    def diff(store: ConfigStore) -> int:
        head = store.read_head()
        rows = _differences(local, head.files)
        if arguments.json:
            print_json({"revision": head.revision, "changes": rows})
        else:
            for row in rows:
                print(f"{row['change']} {row['file']}")
        return http_calls.EXIT_OK

    return _with_store(arguments, errors, diff)


def run_history(arguments) -> int:
    """Lists accepted changes.

    Args:
        arguments: A `HistoryCommand`.

    Returns:
        The exit code.
    """

    def history(store: ConfigStore) -> int:
        rows = [
            {
                "revision": entry.revision,
                "author": entry.author,
                "changed": sorted(entry.changed),
            }
            for entry in store.read_head().history
        ]
        if arguments.json:
            print_json(rows)
        else:
            for row in rows:
                names = ", ".join(row["changed"])
                print(f"{row['revision']}  {row['author']}  {names}")
        return http_calls.EXIT_OK

    return _with_store(arguments, [], history)


def run_rollback(arguments) -> int:
    """Makes the files of an earlier revision the next revision.

    Args:
        arguments: A `RollbackCommand`.

    Returns:
        The exit code.
    """

    def rollback(store: ConfigStore) -> int:
        result, errors = store.rollback(arguments.revision, _author(arguments))
        return _print_change(arguments, result, errors)

    return _with_store(arguments, [], rollback)


def _with_store(arguments, errors: list[Diagnostic], operation) -> int:
    """Calls a function with the store, or prints the errors.

    Args:
        arguments: A command with `store` and `prefix`.
        errors: Errors found in the command's other input.
        operation: Function that takes the store and returns an exit code.

    Returns:
        The exit code.
    """
    address, address_errors = http_calls.parse_address(arguments.store)
    if errors or address_errors:
        print_errors(errors + address_errors)
        return http_calls.EXIT_BAD_INPUT
    try:
        return operation(ConfigStore(StoreClient(address), arguments.prefix))
    except StoreUnavailableError as error:
        message = f"store unavailable: {error}"
        print_errors([Diagnostic(arguments.store, message)])
        return http_calls.EXIT_UNREACHABLE


def _author(arguments) -> str:
    return arguments.author or getpass.getuser()


def _print_change(arguments, result, errors: list[Diagnostic]) -> int:
    if errors:
        print_errors(errors)
        return http_calls.EXIT_CONFLICT
    if arguments.json:
        print_json(dataclasses.asdict(result))
    else:
        changed = ", ".join(result.changed) or "nothing"
        print(f"revision {result.revision} accepted; changed: {changed}")
    return http_calls.EXIT_OK


def _differences(local: dict[str, str], stored: dict[str, str]) -> list[dict]:
    return [
        {"file": name, "change": _change(local.get(name), stored.get(name))}
        for name in sorted({*local, *stored})
        if local.get(name) != stored.get(name)
    ]


def _change(local: str | None, stored: str | None) -> str:
    if stored is None:
        return "add"
    return "remove" if local is None else "replace"


def _read_base(arguments) -> tuple[dict[str, str], list[Diagnostic]]:
    path = pathlib.Path(arguments.folder) / BASE_FILE
    if not path.exists():
        return {}, []
    try:
        return json.loads(path.read_text()), []
    except (OSError, ValueError) as error:
        return {}, [Diagnostic(str(path), f"cannot be read: {error}")]


def _write_base(arguments, files: dict[str, str]) -> None:
    path = pathlib.Path(arguments.folder) / BASE_FILE
    base = {name: content_hash(text) for name, text in files.items()}
    path.write_text(json.dumps(base, indent=2) + "\n")


def _as_json(errors: list[Diagnostic]) -> list[dict]:
    return [{"source": e.source, "message": e.message} for e in errors]
