"""Checks which operator may change which configuration file."""

import hashlib
import hmac
from collections.abc import Iterable, Mapping

from kumquatspur.core.records import Diagnostic, Team, record


@record
class Operator:
    """A caller of the administration API: a team or the administrator.

    Attributes:
        name: The team's name, or "operator" for the admin key in the settings.
        team: The team; None for the administrator, who may change every file.
    """

    name: str
    team: Team | None


@record
class FileEdit:
    """A change of one configuration file.

    Attributes:
        name: The file's name.
        text: The new content; None removes the file.
        names: All names that the new content defines or refers to.
        defines_teams: Whether the new content defines teams.
    """

    name: str
    text: str | None
    names: tuple[str, ...] = ()
    defines_teams: bool = False


def identify(
    key: str, admin_key: str, teams: Mapping[str, Team]
) -> Operator | None:
    """Identifies a caller by its key.

    Args:
        key: The key that the caller sent.
        admin_key: The administrator's key.
        teams: Teams by name.

    Returns:
        The caller, or None if the key is unknown.
    """
    if hmac.compare_digest(key.encode(), admin_key.encode()):
        return Operator("operator", None)
    digest = hashlib.sha256(key.encode()).hexdigest()
    for team in teams.values():
        if hmac.compare_digest(digest, team.key_sha256):
            return Operator(team.name, team)
    return None


def check_edit(
    operator: Operator, edit: FileEdit, files: Mapping[str, str]
) -> list[Diagnostic]:
    """Checks a change against the permissions and quotas of a team.

    Args:
        operator: The caller that makes the change.
        edit: The change.
        files: The content of all files, before the change, by name.

    Returns:
        The errors found; none if the change is allowed.
    """
    team = operator.team
    if team is None:
        return []
    if not edit.name.startswith(team.prefix):
        message = f"team {team.name} may only change files {team.prefix}*"
        return [Diagnostic(edit.name, message)]
    if edit.text is None:
        return []
    return _check_names(team, edit) + _check_quota(team, edit, files)


def _check_names(team: Team, edit: FileEdit) -> list[Diagnostic]:
    errors = [
        Diagnostic(edit.name, f"{name!r} must begin with {team.prefix!r}")
        for name in _names_lacking_prefix(edit.names, team.prefix)
    ]
    if edit.defines_teams:
        errors.append(Diagnostic(edit.name, "only the operator defines teams"))
    return errors


def _names_lacking_prefix(names: Iterable[str], prefix: str) -> list[str]:
    return sorted({name for name in names if not name.startswith(prefix)})


def _check_quota(
    team: Team, edit: FileEdit, files: Mapping[str, str]
) -> list[Diagnostic]:
    own = {n: t for n, t in files.items() if n.startswith(team.prefix)}
    own[edit.name] = edit.text
    size = sum(len(text.encode()) for text in own.values())
    errors = []
    if len(own) > team.max_files:
        message = f"team {team.name} may have at most {team.max_files} files"
        errors.append(Diagnostic(edit.name, message))
    if size > team.max_bytes:
        message = f"team {team.name} may use at most {team.max_bytes} bytes"
        errors.append(Diagnostic(edit.name, message))
    return errors
