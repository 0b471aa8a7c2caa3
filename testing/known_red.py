"""Parser of KNOWN-RED.txt, the tests that fail because of a known bug."""

from kumquatspur.core.records import Diagnostic, record

FIELDS = ("test", "command", "seed", "seen", "issue")


@record
class KnownRed:
    """A test that fails because of a bug that is not fixed yet.

    Attributes:
        test: The test's identifier, as unittest prints it.
        command: The command that reproduces the failure.
        seed: The seed, or "-" where there is none.
        seen: The failure that was observed.
        issue: The number of the issue.
    """

    test: str
    command: str
    seed: str
    seen: str
    issue: str


def parse_known_red(
    text: str, source: str
) -> tuple[list[KnownRed], list[Diagnostic]]:
    """Parses the list.

    Entries are separated by blank lines. Each line of an entry is a field name,
    a colon and its value; lines that begin with # are comments.

    Args:
        text: The content of the list.
        source: The file name, for error messages.

    Returns:
        The entries and the errors found.
    """
    entries, errors, fields = [], [], {}
    for number, line in enumerate([*text.splitlines(), ""], start=1):
        if line.startswith("#"):
            continue
        if line.strip():
            name, _, value = line.partition(":")
            fields[name.strip()] = value.strip()
            continue
        if fields:
            _add_entry(fields, f"{source}:{number}", entries, errors)
            fields = {}
    return entries, errors


def _add_entry(fields: dict, source: str, entries: list, errors: list) -> None:
    if tuple(sorted(fields)) != tuple(sorted(FIELDS)):
        message = f"an entry needs exactly the fields {', '.join(FIELDS)}"
        errors.append(Diagnostic(source, message))
        return
    entries.append(KnownRed(**fields))
