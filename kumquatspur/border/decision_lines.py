"""Reads the decision logs of entry hosts.

A decision log has one JSON line per completed request and per other event,
with the time by the host's clock, the host and the event's name.
"""

import dataclasses
import json
import pathlib
import re
from typing import Annotated, Any, Literal

import pydantic

from kumquatspur.core.records import Diagnostic
from kumquatspur.policy.account_report import AccountLine
from kumquatspur.policy.day_report import RequestLine, RequestOutcome
from kumquatspur.policy.limit_report import AttemptsLine, LimitLine

# Tools that collect the logs of several hosts prefix each line with the time
# by their own clock and with the host. That time replaces the line's own time,
# so that the times of all hosts are comparable.
_PREFIX = re.compile(r"^\s*(-?\d+(?:\.\d+)?)\s")


class _LogEvent(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    time: float
    host: str
    event: str


class _Line(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)

    time: float
    host: str = ""
    route: str | None = None
    account: str | None = None


class _Answered(_Line):
    event: Literal["answered"]
    status: int
    ms: float
    target_ms: float
    parts: Annotated[str, pydantic.Field(pattern=r"^\d+/\d+$")]
    attempts: list[list[Any]] = []


class _Refused(_Line):
    event: Literal["refused"]
    status: int
    reason: str


class _ClientDisconnected(_Line):
    event: Literal["client_left"]
    ms: float


class _Delegated(_Line):
    event: Literal["handed_over"]
    ms: float
    # True if the answer of the other host was lost. Otherwise, the host that
    # served the request logged it.
    lost: bool


class _LinesDropped(_Line):
    event: Literal["log_lines_dropped"]
    count: int


class _SearcherLimit(_LogEvent):
    event: Literal["searcher_limit"]
    searcher: str
    per_s: float | None
    attempts_before: int = 0


class _LimitedAttempts(_LogEvent):
    event: Literal["limited_attempts"]
    attempts: dict[str, dict[str, int]]


class _AccountUse(_LogEvent):
    event: Literal["account_use"]
    # Admitted, refused, rate and burst by account.
    accounts: dict[str, tuple[int, int, float, float]]
    window_s: float
    overrun: float
    slack: float


_Decision = pydantic.TypeAdapter(
    Annotated[
        _Answered
        | _Refused
        | _ClientDisconnected
        | _Delegated
        | _LinesDropped
        | _SearcherLimit
        | _LimitedAttempts
        | _AccountUse,
        pydantic.Field(discriminator="event"),
    ]
)
_REFUSAL_OUTCOMES = {
    401: RequestOutcome.NO_KEY,
    404: RequestOutcome.NO_ROUTE,
    429: RequestOutcome.REFUSED,
    503: RequestOutcome.REFUSED,
}
_EVENTS = frozenset(
    {
        "answered",
        "refused",
        "client_left",
        "handed_over",
        "log_lines_dropped",
        "searcher_limit",
        "limited_attempts",
        "account_use",
    }
)


def _from_answered(line: _Answered, at_s: float) -> RequestLine:
    answered_shards, shards = map(int, line.parts.split("/"))
    outcome = (
        RequestOutcome.IN_TIME
        if line.ms <= line.target_ms
        else RequestOutcome.LATE
    )
    if line.status >= 500:
        outcome = (
            RequestOutcome.REFUSED
            if line.status == 503
            else RequestOutcome.FAILED
        )
    extra_attempts = sum(
        bool(item) and item[0] != "first" for item in line.attempts
    )
    reason = "" if line.status < 500 else f"status {line.status}"
    return RequestLine(
        at_s,
        line.route or "",
        outcome,
        reason,
        line.ms,
        answered_shards,
        shards,
        extra_attempts,
    )


def _from_refused(line: _Refused, at_s: float) -> RequestLine:
    outcome = _REFUSAL_OUTCOMES.get(line.status, RequestOutcome.FAILED)
    return RequestLine(at_s, line.route or "", outcome, line.reason)


def _from_client_disconnected(
    line: _ClientDisconnected, at_s: float
) -> RequestLine:
    return RequestLine(
        at_s,
        line.route or "",
        RequestOutcome.CLIENT_DISCONNECTED,
        duration_ms=line.ms,
    )


def _from_delegated(line: _Delegated, at_s: float) -> RequestLine:
    return RequestLine(
        at_s,
        line.route or "",
        RequestOutcome.FAILED,
        "lost at another host",
        duration_ms=line.ms,
    )


_CONVERTERS = {
    _Answered: _from_answered,
    _Refused: _from_refused,
    _ClientDisconnected: _from_client_disconnected,
    _Delegated: _from_delegated,
}


class DecisionLogReader:
    """Collects requests and events from the logs of entry hosts.

    Times are seconds of the log collector's clock if the lines have its
    prefix, and of the host's clock otherwise.

    Attributes:
        requests: The completed requests, as `RequestLine`.
        log_events: Time, host and event name of every line.
        limits: The limits that hosts learnt, as `LimitLine`.
        limited_attempts: The attempts at limited searchers, as `AttemptsLine`.
        account_use: The requests of accounts, as `AccountLine`.
        lines_dropped: Number of lines that hosts dropped.
        unreadable: Number of lines with malformed JSON or with fields that
            are missing or invalid.
    """

    def __init__(self):
        self.requests = []
        self.log_events = []
        self.limits = []
        self.limited_attempts = []
        self.account_use = []
        self.lines_dropped = 0
        self.unreadable = 0

    def read(self, text: str) -> None:
        """Reads a log; skips lines of other programs, which have no "{"."""
        for line in text.splitlines():
            start = line.find("{")
            if start < 0:
                continue
            try:
                raw = json.loads(line[start:])
            except (ValueError, RecursionError):
                self.unreadable += 1
                continue
            if isinstance(raw, dict) and "event" in raw:
                self._add_line(raw, _PREFIX.match(line[:start]))

    def _add_line(self, raw: dict, prefix) -> None:
        try:
            log_event = _LogEvent.model_validate(raw)
            at_s = float(prefix.group(1)) if prefix else log_event.time
            self.log_events.append((at_s, log_event.host, log_event.event))
            if log_event.event not in _EVENTS:
                return
            line = _Decision.validate_python(raw)
        except pydantic.ValidationError:
            self.unreadable += 1
            return
        collectors = {
            _LinesDropped: self._add_lines_dropped,
            _Delegated: self._add_delegated,
            _SearcherLimit: self._add_limit,
            _LimitedAttempts: self._add_limited_attempts,
            _AccountUse: self._add_account_use,
        }
        collectors.get(type(line), self._add_request)(line, at_s)

    def _add_request(self, line: _Line, at_s: float) -> None:
        request = _CONVERTERS[type(line)](line, at_s)
        self.requests.append(
            dataclasses.replace(
                request, host=line.host, account=line.account or ""
            )
        )

    def _add_delegated(self, line: _Delegated, at_s: float) -> None:
        if line.lost:
            self._add_request(line, at_s)

    def _add_lines_dropped(self, line: _LinesDropped, at_s: float) -> None:
        self.lines_dropped += line.count

    def _add_limit(self, line: _SearcherLimit, at_s: float) -> None:
        self.limits.append(
            LimitLine(
                at_s, line.host, line.searcher, line.per_s, line.attempts_before
            )
        )

    def _add_limited_attempts(
        self, line: _LimitedAttempts, at_s: float
    ) -> None:
        for searcher, by_kind in line.attempts.items():
            self.limited_attempts.append(
                AttemptsLine(at_s, line.host, searcher, by_kind)
            )

    def _add_account_use(self, line: _AccountUse, at_s: float) -> None:
        rule = (line.window_s, line.overrun, line.slack)
        for account, counts in line.accounts.items():
            self.account_use.append(
                AccountLine(at_s, line.host, account, *counts, *rule)
            )


def read_decision_logs(
    logs_path: str,
) -> tuple[DecisionLogReader, list[Diagnostic]]:
    """Reads one log or all logs of a folder.

    Args:
        logs_path: Path of a folder with one or more files, or of a single
            file.

    Returns:
        The reader with the collected lines, and the errors found.
    """
    reader, errors = DecisionLogReader(), []
    path = pathlib.Path(logs_path)
    files = sorted(path.iterdir()) if path.is_dir() else [path]
    for file in files:
        if path.is_dir() and not file.is_file():
            continue
        try:
            reader.read(file.read_text(encoding="utf-8", errors="replace"))
        except OSError as error:
            errors.append(Diagnostic(str(file), f"cannot be read: {error}"))
    if not errors and not reader.requests:
        errors.append(Diagnostic(logs_path, "holds no line about a request"))
    return reader, errors
