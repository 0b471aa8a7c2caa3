"""The command-line tool.

Exit codes: 0 success, 1 the request was refused or the answer is partial where
`--require-full` was given, 2 bad input, 3 a conflict with another operator,
4 a server could not be reached.
"""

import sys
from dataclasses import dataclass, field
from typing import Annotated

import cappa

from kumquatspur.scripts import (
    accounts_command,
    burn_command,
    config_commands,
    day_command,
    evacuate_command,
    file_commands,
    limits_command,
    query_commands,
)
from kumquatspur.scripts import status_commands as status

Json = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]
Store = Annotated[
    str, cappa.Arg(long=True, help="IP address and port of the store.")
]
Prefix = Annotated[str, cappa.Arg(long=True, help="Key prefix in the store.")]
Folder = Annotated[str, cappa.Arg(help="The configuration folder.")]
Admin = Annotated[
    list[str],
    cappa.Arg(
        long=True, help="Administration address of a daemon; repeatable."
    ),
]
AdminKey = Annotated[
    str, cappa.Arg(long=True, help="Key of the administration API.")
]

OneAdmin = Annotated[
    str, cappa.Arg(long="--admin", help="Administration address of a daemon.")
]
BaseRevision = Annotated[
    int | None,
    cappa.Arg(long=True, help="Revision that the change was made from."),
]
DryRun = Annotated[
    bool, cappa.Arg(long=True, help="Check only; change nothing.")
]


@cappa.command(name="query")
@dataclass
class QueryCommand:
    """Sends a query to an entry host and prints the answer.

    Example: kumquatspur query --entry 127.0.0.1:21010 shop-counter '{"text":
    "oak"}'
    """

    service: Annotated[str, cappa.Arg(help="The service.")]
    query: Annotated[str, cappa.Arg(help="The query, as JSON.")]
    entry: Annotated[str, cappa.Arg(long=True, help="IP address and port.")]
    limit: Annotated[int, cappa.Arg(long=True, help="Hits wanted.")] = 10
    deadline_ms: Annotated[
        int | None, cappa.Arg(long=True, help="Deadline in milliseconds.")
    ] = None
    once: Annotated[
        bool, cappa.Arg(long=True, help="Run at most once, never repeat.")
    ] = False
    idempotency_key: Annotated[
        str, cappa.Arg(long=True, help="Key under which it runs once.")
    ] = ""
    require_full: Annotated[
        bool, cappa.Arg(long=True, help="Exit with 1 if a shard is missing.")
    ] = False
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return query_commands.run_query(self)


@cappa.command(name="check")
@dataclass
class CheckCommand:
    """Checks a configuration folder.

    Example: kumquatspur config check examples/oslo
    """

    folder: Folder
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return config_commands.run_check(self)


@cappa.command(name="push")
@dataclass
class PushCommand:
    """Puts a configuration folder in force.

    Example: kumquatspur config push examples/oslo --store 127.0.0.1:21000
    """

    folder: Folder
    store: Store
    prefix: Prefix = "kumquatspur"
    author: Annotated[str, cappa.Arg(long=True, help="Your name.")] = ""
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return config_commands.run_push(self)


@cappa.command(name="diff")
@dataclass
class DiffCommand:
    """Compares a folder with the configuration in the store.

    Example: kumquatspur config diff examples/oslo --store 127.0.0.1:21000
    """

    folder: Folder
    store: Store
    prefix: Prefix = "kumquatspur"
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return config_commands.run_diff(self)


@cappa.command(name="history")
@dataclass
class HistoryCommand:
    """Lists the latest accepted changes.

    Example: kumquatspur config history --store 127.0.0.1:21000
    """

    store: Store
    prefix: Prefix = "kumquatspur"
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return config_commands.run_history(self)


@cappa.command(name="rollback")
@dataclass
class RollbackCommand:
    """Makes the files of an earlier revision the next revision.

    Example: kumquatspur config rollback 7 --store 127.0.0.1:21000
    """

    revision: Annotated[int, cappa.Arg(help="The earlier revision.")]
    store: Store
    prefix: Prefix = "kumquatspur"
    author: Annotated[str, cappa.Arg(long=True, help="Your name.")] = ""
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return config_commands.run_rollback(self)


@cappa.command(name="put")
@dataclass
class PutCommand:
    """Adds or replaces one file through the administration API.

    Example: kumquatspur config put desk-1.json --admin 127.0.0.1:21012
    --admin-key KEY --dry-run
    """

    file: Annotated[str, cappa.Arg(help="The file; its name is kept.")]
    admin: OneAdmin
    admin_key: AdminKey
    revision: BaseRevision = None
    dry_run: DryRun = False
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return file_commands.run_put(self)


@cappa.command(name="remove")
@dataclass
class RemoveCommand:
    """Removes one file through the administration API.

    Example: kumquatspur config remove desk-1.json --admin 127.0.0.1:21012
    --admin-key KEY
    """

    name: Annotated[str, cappa.Arg(help="The file's name.")]
    admin: OneAdmin
    admin_key: AdminKey
    revision: BaseRevision = None
    dry_run: DryRun = False
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return file_commands.run_remove(self)


@cappa.command(name="status")
@dataclass
class ConfigStatusCommand:
    """Shows which daemons have which revision in force.

    Example: kumquatspur config status --admin 127.0.0.1:21012 --admin-key KEY
    """

    admin: Admin
    admin_key: AdminKey
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return status.run_config_status(self)


@cappa.command(name="config")
@dataclass
class ConfigCommand:
    """Reads and changes the configuration."""

    command: cappa.Subcommands[
        CheckCommand
        | PushCommand
        | DiffCommand
        | HistoryCommand
        | RollbackCommand
        | PutCommand
        | RemoveCommand
        | ConfigStatusCommand
    ]


@cappa.command(name="status")
@dataclass
class StatusCommand:
    """Shows the state of daemons.

    Example: kumquatspur status --admin 127.0.0.1:21012 --admin-key KEY
    """

    admin: Admin
    admin_key: AdminKey
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return status.run_status(self)


@cappa.command(name="burn")
@dataclass
class BurnCommand:
    """Reports how fast the services burn their error budgets.

    Example: kumquatspur report burn --admin 127.0.0.1:21012 --admin-key KEY
    --html burn.html
    """

    admin: Admin
    admin_key: AdminKey
    json: Json = False
    html: Annotated[
        str, cappa.Arg(long=True, help="Write an HTML report to this file.")
    ] = ""

    def __call__(self) -> int:
        """Runs the command."""
        return burn_command.run_burn(self)


@cappa.command(name="day")
@dataclass
class DayCommand:
    """Reports what requests lost, from the decision logs of entry hosts.

    Example: kumquatspur report day LOGS --html day.html
    """

    folder: Annotated[
        str, cappa.Arg(help="A folder of logs, one file a host, or one file.")
    ]
    json: Json = False
    html: Annotated[
        str, cappa.Arg(long=True, help="Write an HTML report to this file.")
    ] = ""

    def __call__(self) -> int:
        """Runs the command."""
        return day_command.run_day(self)


@cappa.command(name="accounts")
@dataclass
class AccountsCommand:
    """Reports what client accounts used of their quotas at all entry hosts.

    Example: kumquatspur report accounts LOGS
    """

    folder: Annotated[
        str, cappa.Arg(help="A folder of logs, one file a host, or one file.")
    ]
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return accounts_command.run_accounts(self)


@cappa.command(name="evacuate")
@dataclass
class EvacuateCommand:
    """Stops all requests to the searchers of an availability zone.

    Without a zone, lists the evacuated zones.

    Example: kumquatspur evacuate oslo-1 --store 127.0.0.1:21000
    """

    zone: Annotated[str, cappa.Arg(help="The availability zone.")] = ""
    store: Annotated[
        str,
        cappa.Arg(
            long=True,
            required=True,
            help="IP address and port of the platform's metadata store.",
        ),
    ] = ""
    undo: Annotated[bool, cappa.Arg(long=True, help="End the evacuation.")] = (
        False
    )
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return evacuate_command.run_evacuate(self)


@cappa.command(name="limits")
@dataclass
class LimitsCommand:
    """Reports what searchers with a limit got from all entry hosts together.

    Example: kumquatspur report limits LOGS
    """

    folder: Annotated[
        str, cappa.Arg(help="A folder of logs, one file a host, or one file.")
    ]
    json: Json = False

    def __call__(self) -> int:
        """Runs the command."""
        return limits_command.run_limits(self)


@cappa.command(name="report")
@dataclass
class ReportCommand:
    """Prints reports."""

    command: cappa.Subcommands[
        AccountsCommand | BurnCommand | DayCommand | LimitsCommand
    ]


@cappa.command(name="kumquatspur")
@dataclass
class Tool:
    """Queries, configures and observes kumquatspur."""

    command: cappa.Subcommands[
        QueryCommand
        | ConfigCommand
        | StatusCommand
        | ReportCommand
        | EvacuateCommand
    ] = field()


def main() -> int:
    """Runs the tool.

    Returns:
        The exit code.
    """
    return cappa.invoke(Tool)


if __name__ == "__main__":
    sys.exit(main())
