"""Administration API for reading and changing the configuration."""

import logging
import urllib.parse
from http import HTTPStatus

from kumquatspur.border.config_files import (
    FileModel,
    content_hash,
    load_configuration,
    parse_file,
)
from kumquatspur.core.records import Diagnostic
from kumquatspur.policy.tenancy import FileEdit, Operator, check_edit
from kumquatspur.wire.config_store import ConfigStore
from kumquatspur.wire.json_http import Reply, error_reply, read_body
from kumquatspur.wire.store_client import StoreUnavailableError

_audit = logging.getLogger("kumquatspur.audit")

FILES_PATH = "/v1/config/files/"
MAX_FILE_BYTES = 1_000_000
STORE_RETRY_HEADERS = (("Retry-After", "2"),)


class AdminConfig:
    """Reads and changes the configuration in the store.

    Attributes:
        store: Client of the stored configuration.
        contents: Cached file contents by hash.
    """

    def __init__(self, store: ConfigStore):
        self.store = store
        self.contents = {}

    def list_files(self, environ, operator: Operator) -> Reply:
        """Lists the files of the accepted configuration."""
        try:
            head = self.store.read_head()
        except StoreUnavailableError as error:
            return _store_unavailable_reply("not_run", error)
        body = {"revision": head.revision, "files": head.files}
        return Reply(HTTPStatus.OK, body, _etag(head.revision))

    def read_file(self, environ, operator: Operator) -> Reply:
        """Returns the content and hash of a file."""
        name = _file_name(environ)
        try:
            head = self.store.read_head()
            files = self._read_files(head)
        except StoreUnavailableError as error:
            return _store_unavailable_reply("not_run", error)
        if name not in files:
            return _not_found_reply(name)
        body = {
            "revision": head.revision,
            "name": name,
            "hash": head.files[name],
            "text": files[name],
        }
        return Reply(HTTPStatus.OK, body, _etag(head.revision))

    def write_file(self, environ, operator: Operator) -> Reply:
        """Adds or replaces a file."""
        data, error = read_body(environ, MAX_FILE_BYTES)
        if error is not None:
            return error
        name = _file_name(environ)
        try:
            text = data.decode()
        except UnicodeDecodeError as problem:
            return _invalid_configuration_reply(
                [Diagnostic(name, str(problem))]
            )
        model, errors = parse_file(name, text)
        if errors:
            return _invalid_configuration_reply(errors)
        edit = FileEdit(name, text, _defined_names(model), bool(model.teams))
        return self._change(environ, operator, edit)

    def remove_file(self, environ, operator: Operator) -> Reply:
        """Removes a file."""
        edit = FileEdit(_file_name(environ), None)
        return self._change(environ, operator, edit)

    def _change(self, environ, operator: Operator, edit: FileEdit) -> Reply:
        expected = environ.get("HTTP_IF_MATCH", "").strip('"')
        if not expected.isdigit():
            errors = [Diagnostic("If-Match", "must hold the revision edited")]
            return error_reply(
                HTTPStatus.PRECONDITION_REQUIRED, "bad_request", errors
            )
        try:
            head = self.store.read_head()
            files = self._read_files(head)
        except StoreUnavailableError as error:
            return _store_unavailable_reply("not_run", error)
        if head.revision != int(expected):
            return _stale_revision_reply(head.revision)
        if edit.text is None and edit.name not in files:
            return _not_found_reply(edit.name)
        errors = check_edit(operator, edit, files)
        if errors:
            return error_reply(HTTPStatus.FORBIDDEN, "forbidden", errors)
        return self._apply(environ, operator, edit, head, files)

    def _apply(self, environ, operator, edit, head, files) -> Reply:
        wanted = {n: t for n, t in files.items() if n != edit.name}
        if edit.text is not None:
            wanted[edit.name] = edit.text
        _, errors = load_configuration(wanted)
        if errors:
            return _invalid_configuration_reply(errors)
        if "dry_run=1" in environ.get("QUERY_STRING", "").split("&"):
            body = {"revision": head.revision, "accepted": False}
            return Reply(HTTPStatus.OK, body)
        try:
            result, errors = self.store.push(wanted, head.files, operator.name)
        except StoreUnavailableError as error:
            return _store_unavailable_reply("may_have_run", error)
        if errors:
            return error_reply(HTTPStatus.CONFLICT, "conflict", errors)
        self._log_change(operator, edit, result.revision)
        body = {"revision": result.revision, "accepted": True}
        return Reply(HTTPStatus.OK, body, _etag(result.revision))

    def _log_change(self, operator, edit: FileEdit, revision: int) -> None:
        digest = content_hash(edit.text) if edit.text is not None else ""
        fields = {
            "operator": operator.name,
            "file": edit.name,
            "hash": digest,
            "revision": revision,
        }
        _audit.info("configuration changed", extra=fields)

    def _read_files(self, head) -> dict[str, str]:
        kept = {
            digest: text
            for digest, text in self.contents.items()
            if digest in head.files.values()
        }
        for digest in head.files.values():
            if digest not in kept:
                kept[digest] = self.store.read_file(digest)
        self.contents = kept
        return {name: kept[digest] for name, digest in head.files.items()}


def _file_name(environ) -> str:
    path = environ["PATH_INFO"].removeprefix(FILES_PATH)
    return urllib.parse.unquote(path)


def _defined_names(model: FileModel) -> tuple[str, ...]:
    shards = (
        shard
        for catalogue in model.catalogues.values()
        for layout in catalogue.layouts
        for shard in layout.shards
    )
    searched = (
        shard
        for searcher in model.searchers.values()
        for shard in searcher.shards
    )
    return (
        *model.services,
        *model.catalogues,
        *model.searchers,
        *model.drain,
        *shards,
        *searched,
    )


def _etag(revision: int) -> tuple[tuple[str, str], ...]:
    return (("ETag", f'"{revision}"'),)


def _invalid_configuration_reply(errors: list[Diagnostic]) -> Reply:
    return error_reply(
        HTTPStatus.UNPROCESSABLE_ENTITY, "invalid_configuration", errors
    )


def _not_found_reply(name: str) -> Reply:
    errors = [Diagnostic(name, "no such file")]
    return error_reply(HTTPStatus.NOT_FOUND, "not_found", errors)


def _stale_revision_reply(revision: int) -> Reply:
    message = f"the configuration is at revision {revision}; read it again"
    errors = [Diagnostic("If-Match", message)]
    return error_reply(HTTPStatus.PRECONDITION_FAILED, "stale_revision", errors)


def _store_unavailable_reply(verdict: str, error: Exception) -> Reply:
    errors = [Diagnostic("store", f"unavailable: {error}")]
    reply = error_reply(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "store_unavailable",
        errors,
        STORE_RETRY_HEADERS,
    )
    reply.body["verdict"] = verdict
    return reply
