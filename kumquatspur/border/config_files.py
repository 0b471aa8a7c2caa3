"""Models of the operators' configuration files, and their merge.

Loading is a pipeline of functions: parse each file, merge the files in the
order of their names, check references, and build the immutable
`Configuration`. Parsing and checking return the errors found.
"""

import collections
import dataclasses
import hashlib
import ipaddress
import json
import sys
from collections.abc import Callable, Iterable, Mapping

import pydantic

from kumquatspur.border.validation import validation_diagnostics
from kumquatspur.core import records
from kumquatspur.core.records import Diagnostic


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class LayoutModel(_Model):
    """The shards of a catalogue as of a given snapshot."""

    first_snapshot: int = pydantic.Field(1, ge=1)
    shards: tuple[str, ...] = pydantic.Field(min_length=1)


class CatalogueModel(_Model):
    """A searchable collection."""

    layouts: tuple[LayoutModel, ...] = pydantic.Field(min_length=1)


class ProfileModel(_Model):
    """How a service trades coverage against latency."""

    deadline_ms: int = pydantic.Field(140, ge=1, le=60_000)
    hedge_share: float = pydantic.Field(0.05, ge=0, le=1)
    hedge_quantile: float = pydantic.Field(0.95, gt=0, lt=1)
    early_coverage: float = pydantic.Field(1.0, ge=0, le=1)
    early_share: float = pydantic.Field(1.0, ge=0, le=1)


class ObjectivesModel(_Model):
    """Service-level objectives."""

    latency_ms: int = pydantic.Field(140, ge=1)
    latency_target: float = pydantic.Field(0.99, gt=0, lt=1)
    coverage_target: float = pydantic.Field(0.999, gt=0, lt=1)
    availability_target: float = pydantic.Field(0.999, gt=0, lt=1)


class ServiceModel(_Model):
    """A service and the catalogues that it may query."""

    catalogues: tuple[str, ...] = pydantic.Field(min_length=1)
    profile: ProfileModel = ProfileModel()
    objectives: ObjectivesModel = ObjectivesModel()


class SearcherModel(_Model):
    """An upstream."""

    host: str
    port: int = pydantic.Field(ge=1, le=65535)
    zone: str = pydantic.Field(min_length=1)
    slots: int = pydantic.Field(ge=1)
    connections: int = pydantic.Field(ge=1)
    shards: tuple[str, ...] = pydantic.Field(min_length=1)
    group: str = ""

    @pydantic.field_validator("host")
    @classmethod
    def check_host(cls, value: str) -> str:
        """Requires that the host is an IP address."""
        ipaddress.ip_address(value)
        return value


class TeamModel(_Model):
    """A group of operators that may change the files of one prefix."""

    prefix: str = pydantic.Field(min_length=1)
    key_sha256: str = pydantic.Field(pattern="^[0-9a-f]{64}$")
    max_files: int = pydantic.Field(100, ge=1)
    max_bytes: int = pydantic.Field(1_000_000, ge=1)


class FileModel(_Model):
    """One configuration file."""

    services: dict[str, ServiceModel] = {}
    catalogues: dict[str, CatalogueModel] = {}
    searchers: dict[str, SearcherModel] = {}
    drain: tuple[str, ...] = ()
    teams: dict[str, TeamModel] = {}


def content_hash(text: str) -> str:
    """Returns the hash that identifies a file's content."""
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def _reject_duplicates(pairs):
    result = dict(pairs)
    if len(result) == len(pairs):
        return result
    keys = collections.Counter(key for key, _ in pairs)
    raise ValueError(f"duplicate key {keys.most_common(1)[0][0]!r}")


def parse_file(
    name: str, text: str
) -> tuple[FileModel | None, list[Diagnostic]]:
    """Parses and checks one file.

    Args:
        name: The file's name.
        text: Its content.

    Returns:
        The model, or None, and the errors found, with the line or the path of
        the field.
    """
    try:
        raw = json.loads(text, object_pairs_hook=_reject_duplicates)
    except json.JSONDecodeError as error:
        source = f"{name}:{error.lineno}"
        return None, [Diagnostic(source, f"is not JSON: {error.msg}")]
    except (ValueError, RecursionError) as error:
        return None, [Diagnostic(name, str(error))]
    try:
        return FileModel.model_validate(raw), []
    except pydantic.ValidationError as error:
        return None, validation_diagnostics(name, error)


@dataclasses.dataclass(frozen=True)
class Definitions:
    """The definitions in one file or in several merged files.

    Attributes:
        services: Services by name.
        catalogues: Catalogues by name.
        searchers: Searchers by name.
        teams: Teams by name.
        drained: Names of searchers that must receive no new work.
        replicas: Searchers by shard.
    """

    services: dict[str, records.Service]
    catalogues: dict[str, records.Catalogue]
    searchers: dict[str, records.Searcher]
    teams: dict[str, records.Team]
    drained: tuple[str, ...]
    replicas: dict[str, tuple[records.Searcher, ...]]


def build_definitions(model: FileModel) -> Definitions:
    """Converts a parsed file to records.

    Args:
        model: The parsed file.

    Returns:
        Its definitions.
    """
    searchers = {n: _build_searcher(n, m) for n, m in model.searchers.items()}
    return Definitions(
        {n: _build_service(n, m) for n, m in model.services.items()},
        {n: _build_catalogue(n, m) for n, m in model.catalogues.items()},
        searchers,
        {n: records.Team(n, **m.model_dump()) for n, m in model.teams.items()},
        model.drain,
        _group_by_shard(searchers.values()),
    )


def _build_service(name: str, model: ServiceModel) -> records.Service:
    return records.Service(
        name=name,
        catalogues=model.catalogues,
        profile=records.Profile(**model.profile.model_dump()),
        objectives=records.Objectives(**model.objectives.model_dump()),
    )


def _build_catalogue(name: str, model: CatalogueModel) -> records.Catalogue:
    layouts = tuple(
        records.Layout(layout.first_snapshot, layout.shards)
        for layout in model.layouts
    )
    return records.Catalogue(name, layouts)


def _build_searcher(name: str, model: SearcherModel) -> records.Searcher:
    return records.Searcher(
        name=name,
        address=records.Address(model.host, model.port),
        zone=sys.intern(model.zone),
        slots=model.slots,
        connections=model.connections,
        shards=tuple(sys.intern(shard) for shard in model.shards),
        group=sys.intern(model.group or name),
    )


def merge_files(definitions: Mapping[str, Definitions]) -> Definitions:
    """Merges files in the order of their names.

    A name defined in a later file replaces the definition of an earlier one.

    Args:
        definitions: The definitions in each file, by file name.

    Returns:
        The merged definitions.
    """
    merged = Definitions({}, {}, {}, {}, (), {})
    drained = []
    for name in sorted(definitions):
        merged.services.update(definitions[name].services)
        merged.catalogues.update(definitions[name].catalogues)
        merged.searchers.update(definitions[name].searchers)
        merged.teams.update(definitions[name].teams)
        drained.extend(definitions[name].drained)
    replicas = _merge_replicas(definitions, merged)
    return dataclasses.replace(
        merged, drained=tuple(drained), replicas=replicas
    )


def _merge_replicas(
    definitions: Mapping[str, Definitions], merged: Definitions
):
    defined = sum(len(entry.searchers) for entry in definitions.values())
    if defined > len(merged.searchers):
        # A later file replaced a searcher of an earlier file, so the replicas
        # of the files may contain both definitions.
        return _group_by_shard(merged.searchers.values())
    replicas = {}
    for name in sorted(definitions):
        for shard, searchers in definitions[name].replicas.items():
            earlier = replicas.get(shard)
            replicas[shard] = earlier + searchers if earlier else searchers
    return replicas


def check_references(merged: Definitions) -> list[Diagnostic]:
    """Checks that all names are defined and that layouts are in order.

    Args:
        merged: The merged definitions.

    Returns:
        One error per undefined name and per catalogue whose layouts are not
        in ascending order.
    """
    errors = []
    shards = set()
    for name, catalogue in merged.catalogues.items():
        for layout in catalogue.layouts:
            shards.update(layout.shards)
        first_snapshots = [
            layout.first_snapshot for layout in catalogue.layouts
        ]
        if first_snapshots != sorted(set(first_snapshots)):
            source = f"catalogues.{name}.layouts"
            errors.append(Diagnostic(source, "first_snapshot must increase"))
    for name, service in merged.services.items():
        for catalogue_name in service.catalogues:
            if catalogue_name not in merged.catalogues:
                source = f"services.{name}.catalogues"
                errors.append(Diagnostic(source, f"unknown {catalogue_name!r}"))
    unknown = merged.replicas.keys() - shards
    for name, searcher in merged.searchers.items() if unknown else ():
        for shard in searcher.shards:
            if shard not in shards:
                source = f"searchers.{name}.shards"
                errors.append(Diagnostic(source, f"unknown {shard!r}"))
    for name in merged.drained:
        if name not in merged.searchers:
            errors.append(Diagnostic("drain", f"unknown searcher {name!r}"))
    return errors


def build_configuration(
    merged: Definitions, revision: int, hashes: Mapping[str, str]
) -> records.Configuration:
    """Builds the immutable configuration.

    Args:
        merged: Merged definitions without errors.
        revision: The revision accepted by the store.
        hashes: The content hash of each file by name.

    Returns:
        The configuration.
    """
    return records.Configuration(
        revision=revision,
        services=merged.services,
        catalogues=merged.catalogues,
        searchers=merged.searchers,
        drained=frozenset(merged.drained),
        teams=merged.teams,
        files=dict(hashes),
        replicas=merged.replicas,
    )


def _group_by_shard(
    searchers: Iterable[records.Searcher],
) -> dict[str, tuple[records.Searcher, ...]]:
    grouped = collections.defaultdict(list)
    for searcher in searchers:
        for shard in searcher.shards:
            grouped[shard].append(searcher)
    return {shard: tuple(replicas) for shard, replicas in grouped.items()}


def load_configuration(
    texts: Mapping[str, str], revision: int = 0
) -> tuple[records.Configuration | None, list[Diagnostic]]:
    """Parses, merges and checks files, and builds the configuration.

    Args:
        texts: The content of each file by name.
        revision: The revision of the result.

    Returns:
        The configuration, or None, and the errors found.
    """
    hashes = {name: content_hash(text) for name, text in texts.items()}
    texts_by_hash = {hashes[name]: text for name, text in texts.items()}
    return ConfigurationLoader().load(
        hashes, texts_by_hash.__getitem__, revision
    )


class ConfigurationLoader:
    """Loads successive revisions and parses only files that have changed."""

    def __init__(self):
        self._definitions_by_hash = {}

    def load(
        self,
        hashes: Mapping[str, str],
        read_text: Callable[[str], str],
        revision: int,
    ) -> tuple[records.Configuration | None, list[Diagnostic]]:
        """Parses, merges and checks files, and builds the configuration.

        Args:
            hashes: The content hash of each file by name.
            read_text: Returns the content with a given hash.
            revision: The revision of the result.

        Returns:
            The configuration, or None, and the errors found.
        """
        definitions, errors = {}, []
        for name, digest in hashes.items():
            file_errors = self._ensure_parsed(name, digest, read_text)
            errors.extend(file_errors)
            definitions[name] = self._definitions_by_hash.get(digest)
        if errors:
            return None, errors
        merged = merge_files(definitions)
        errors = check_references(merged)
        if errors:
            return None, errors
        self._definitions_by_hash = {
            digest: self._definitions_by_hash[digest]
            for digest in hashes.values()
        }
        return build_configuration(merged, revision, hashes), []

    def _ensure_parsed(
        self, name: str, digest: str, read_text
    ) -> list[Diagnostic]:
        if digest in self._definitions_by_hash:
            return []
        model, errors = parse_file(name, read_text(digest))
        if model is not None:
            self._definitions_by_hash[digest] = build_definitions(model)
        return errors
