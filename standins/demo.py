"""Demonstration of both reference deployments; run by `make demo`."""

import argparse
import dataclasses
import pathlib
import shutil
import subprocess
import sys
import time

from standins.deployment import Deployment
from standins.shapes import ADMIN_KEY, HOST, SHAPES, write_folder

BUILD = pathlib.Path("build/demo")
STOP_TIMEOUT_S = 20.0
QUERIES = {
    "oslo": ("shop-counter", '{"text": "oak moulding 20 mm"}'),
    "salish": ("rota-board", '{"due": "2026-12-04"}'),
}


def run_tool(*arguments: str) -> int:
    """Prints and runs a command of the command-line tool.

    Returns:
        The exit code.
    """
    print(f"\n$ kumquatspur {' '.join(arguments)}", flush=True)
    command = [sys.executable, "-m", "kumquatspur.scripts.kumquatspur"]
    return subprocess.run([*command, *arguments], check=False).returncode


def first_caller_address(deployment: Deployment) -> str:
    """Returns the address at which the first daemon accepts queries."""
    first = next(iter(deployment.settings.values()))
    return f"{HOST}:{first['caller']['port']}"


def admin_arguments(deployment: Deployment) -> list[str]:
    """Returns the command-line options with all administration addresses."""
    arguments = ["--admin-key", ADMIN_KEY]
    for settings in deployment.settings.values():
        arguments += ["--admin", f"{HOST}:{settings['admin']['port']}"]
    return arguments


def all_ready(deployment: Deployment, revision: int) -> bool:
    """Returns whether all daemons run a revision and see all peers alive.

    Args:
        deployment: The deployment.
        revision: The lowest configuration revision that counts.
    """
    peers = len(deployment.settings) - 1
    for name in deployment.settings:
        status = deployment.status(name)
        alive = sum(member["alive"] for member in status["members"])
        if status["revision"] < revision or alive < peers:
            return False
    return True


def all_answer_in_full(deployment: Deployment, service: str) -> bool:
    """Returns whether every daemon answers with full coverage."""
    body = {"service": service, "query": {}, "deadline_ms": 1000}
    for name in deployment.settings:
        status, reply = deployment.query(name, body)
        if status != 200 or not reply["coverage"]["full"]:
            return False
    return True


def push(deployment: Deployment, folder: pathlib.Path) -> None:
    """Pushes a configuration folder to the deployment's store.

    Raises:
        SystemExit: The push failed.
    """
    store = f"{HOST}:{deployment.shape.base_port}"
    code = run_tool("config", "push", str(folder), "--store", store)
    if code:
        raise SystemExit(f"the push failed with exit code {code}")


def run_demo(deployment: Deployment) -> None:
    """Demonstrates push, query, partial answer and change on a deployment."""
    shape = deployment.shape
    print(f"\n== {shape.name}: {len(deployment.settings)} daemons ==")
    folder = BUILD / shape.name / "folder"
    write_folder(shape, folder)
    deployment.start()
    deployment.wait_until(lambda: all_ready(deployment, 0))
    push(deployment, folder)
    service, query = QUERIES[shape.name]
    deployment.wait_until(lambda: all_ready(deployment, 1))
    deployment.wait_until(lambda: all_answer_in_full(deployment, service))
    arguments = [
        "query",
        "--entry",
        first_caller_address(deployment),
        "--limit",
        "3",
    ]
    code = run_tool(*arguments, "--require-full", service, query)
    if code:
        raise SystemExit("the answer does not cover all shards")
    show_partial_answer(deployment, [*arguments, service, query])
    show_change(deployment, folder)
    run_tool("status", *admin_arguments(deployment))
    run_tool("report", "burn", *admin_arguments(deployment))


def show_partial_answer(deployment: Deployment, arguments: list[str]) -> None:
    """Sends a query while all searchers of one shard are down."""
    first = next(iter(deployment.files.values()))["searchers"]
    shard = next(iter(first.values()))["shards"][0]
    names = [n for n, s in first.items() if s["shards"] == [shard]]
    print(f"\nkilling the searchers of {shard}: {', '.join(names)}")
    for name in names:
        deployment.set_fault(name, down=True)
    run_tool(*arguments)
    for name in names:
        deployment.set_fault(name, down=False)


def show_change(deployment: Deployment, folder: pathlib.Path) -> None:
    """Drains a searcher and waits until all daemons run the new revision."""
    name = next(iter(next(iter(deployment.files.values()))["searchers"]))
    path = folder / "90-drain.json"
    path.write_text(f'{{"drain": ["{name}"]}}\n', encoding="utf-8")
    push(deployment, folder)
    started = time.monotonic()
    deployment.wait_until(lambda: all_ready(deployment, 2))
    seconds = time.monotonic() - started
    print(f"in force on all daemons after {seconds:.2f} s")
    run_tool("config", "status", *admin_arguments(deployment))


def stop(deployment: Deployment) -> None:
    """Stops all daemons gracefully."""
    stopping = {
        name: deployment.request_stop(name) for name in deployment.settings
    }
    for name, process in stopping.items():
        code = process.wait(STOP_TIMEOUT_S)
        print(f"{name} stopped with exit code {code}")
        if code:
            raise SystemExit(f"{name} did not stop cleanly")


def main() -> None:
    """Runs the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true", help="leave it running")
    parser.add_argument(
        "--base-port", type=int, default=0, help="first TCP port to use"
    )
    arguments = parser.parse_args()
    shutil.rmtree(BUILD, ignore_errors=True)
    shapes = list(SHAPES.values())
    if arguments.base_port:
        shapes = [
            dataclasses.replace(shape, base_port=arguments.base_port + offset)
            for shape, offset in zip(shapes, (0, 1000), strict=True)
        ]
    deployments = [Deployment(shape, BUILD / shape.name) for shape in shapes]
    try:
        for deployment in deployments:
            run_demo(deployment)
        if arguments.keep:
            print("\nrunning; press Ctrl-C to stop")
            while True:
                time.sleep(3600)
        for deployment in deployments:
            stop(deployment)
    except KeyboardInterrupt:
        pass
    finally:
        for deployment in deployments:
            deployment.close()


if __name__ == "__main__":
    main()
