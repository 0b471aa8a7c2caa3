"""Configuration folders and settings of two reference deployments."""

import dataclasses
import json
import pathlib

ADMIN_KEY = "demo-admin-key"
PEER_KEY = "demo-peer-key"
HOST = "127.0.0.1"


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """Sizes of a service.

    Attributes:
        name: The service.
        shards: Number of shards.
        replicas: Searchers per shard, spread over the zones.
        slots: Requests that a searcher executes at once.
        connections: Connections that a searcher accepts.
        catalogues: Catalogues that the shards are distributed over.
    """

    name: str
    shards: int
    replicas: int
    slots: int
    connections: int
    catalogues: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Shape:
    """Zones, services and ports of a deployment.

    Attributes:
        name: The deployment.
        zones: The availability zones.
        services: The services.
        profile: The query profile of all services.
        base_port: First TCP port: the store, then the host list, the daemons
            from 10 on and the searchers from 100 on.
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[ServiceShape, ...]
    profile: dict
    base_port: int


FRAMING_CATALOGUES = ("rammeverket", "listverk", "glassramma", "kantmester")
PEN_CATALOGUES = ("rota", "nets")
OSLO = Shape(
    name="oslo",
    zones=("oslo-1", "oslo-2", "oslo-3"),
    services=(
        ServiceShape("shop-counter", 10, 3, 2, 25, FRAMING_CATALOGUES),
        ServiceShape("billing", 15, 3, 2, 25, FRAMING_CATALOGUES),
        ServiceShape("workshop", 1, 4, 4, 100, ("tickets",)),
        ServiceShape("purchasing", 1, 3, 4, 100, ("orders",)),
    ),
    profile={"deadline_ms": 140, "early_coverage": 1.0, "early_share": 1.0},
    base_port=21000,
)
SALISH = Shape(
    name="salish",
    zones=("salish-1", "salish-2", "salish-3"),
    services=(
        ServiceShape("rota-board", 10, 3, 2, 25, PEN_CATALOGUES),
        ServiceShape("member-desk", 15, 3, 2, 25, PEN_CATALOGUES),
        ServiceShape("inspection-prep", 1, 3, 4, 50, ("inspections",)),
        ServiceShape("tide-notes", 1, 3, 4, 50, ("tides",)),
    ),
    profile={"deadline_ms": 140, "early_coverage": 0.9, "early_share": 0.6},
    base_port=23000,
)
SHAPES = {shape.name: shape for shape in (OSLO, SALISH)}


def _shard_names(service: ServiceShape) -> dict[str, list[str]]:
    names = {f"{service.name}.{c}": [] for c in service.catalogues}
    catalogues = list(names)
    for index in range(service.shards):
        catalogue = catalogues[index % len(catalogues)]
        shard = f"{catalogue}/{len(names[catalogue])}"
        names[catalogue].append(shard)
    return names


def config_files(shape: Shape) -> dict[str, dict]:
    """Builds the configuration folder of a deployment.

    Args:
        shape: The deployment.

    Returns:
        The JSON value of each file, by file name.
    """
    files = {}
    port = shape.base_port + 100
    for number, service in enumerate(shape.services):
        shards = _shard_names(service)
        searchers = {}
        for catalogue, names in shards.items():
            for shard in names:
                for replica in range(service.replicas):
                    zone = shape.zones[replica % len(shape.zones)]
                    name = f"{shard.replace('/', '-')}-{replica}"
                    searchers[name] = {
                        "host": HOST,
                        "port": port,
                        "zone": zone,
                        "slots": service.slots,
                        "connections": service.connections,
                        "shards": [shard],
                        "group": catalogue,
                    }
                    port += 1
        files[f"{number + 1}0-{service.name}.json"] = {
            "services": {
                service.name: {
                    "catalogues": list(shards),
                    "profile": shape.profile,
                }
            },
            "catalogues": {
                name: {"layouts": [{"first_snapshot": 1, "shards": list(s)}]}
                for name, s in shards.items()
            },
            "searchers": searchers,
        }
    return files


def write_folder(shape: Shape, folder: pathlib.Path) -> None:
    """Writes the configuration folder of a deployment."""
    folder.mkdir(parents=True, exist_ok=True)
    for name, value in config_files(shape).items():
        text = json.dumps(value, indent=2) + "\n"
        (folder / name).write_text(text, encoding="utf-8")


def daemon_settings(shape: Shape, hosts_per_zone: int = 3) -> list[dict]:
    """Builds the settings of all daemons of a deployment."""
    settings = []
    for zone in shape.zones:
        for number in range(hosts_per_zone):
            port = shape.base_port + 10 + 3 * len(settings)
            settings.append(
                {
                    "name": f"{zone}-{'abcdefghijklmnopqrstuvwxyz'[number]}",
                    "zone": zone,
                    "caller": {"host": HOST, "port": port},
                    "peer": {"host": HOST, "port": port + 1},
                    "admin": {"host": HOST, "port": port + 2},
                    "store": {"host": HOST, "port": shape.base_port},
                    "host_list": {"host": HOST, "port": shape.base_port + 1},
                    "peer_key": PEER_KEY,
                    "admin_key": ADMIN_KEY,
                }
            )
    return settings


def searcher_specs(files: dict[str, dict], service_ms: float) -> list[dict]:
    """Builds the stand-in specifications of all searchers in a folder."""
    return [
        {
            "name": name,
            "port": searcher["port"],
            "slots": searcher["slots"],
            "connections": searcher["connections"],
            "held": [1],
            "service_ms": service_ms,
        }
        for value in files.values()
        for name, searcher in value.get("searchers", {}).items()
    ]
