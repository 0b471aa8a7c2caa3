"""A small deployment for tests with real processes."""

import dataclasses
import pathlib
import tempfile

from standins.demo import all_answer_in_full, all_ready
from standins.deployment import Deployment, find_free_base_port
from standins.shapes import FRAMING_CATALOGUES, OSLO, ServiceShape

SERVICE = "shop-counter"
PORT_COUNT = 200
DRAIN_S = 0.5


def small_deployment(test_case, zones: int, hosts: str) -> Deployment:
    """Creates a deployment that is closed at the end of a test class.

    Args:
        test_case: The test class.
        zones: The number of availability zones.
        hosts: The entry hosts of each zone, by the last letter of the name.

    Returns:
        The deployment; nothing is started yet.
    """
    shape = dataclasses.replace(
        OSLO,
        zones=OSLO.zones[:zones],
        services=(ServiceShape(SERVICE, 4, zones, 2, 25, FRAMING_CATALOGUES),),
        base_port=find_free_base_port(PORT_COUNT),
    )
    folder = tempfile.TemporaryDirectory()
    test_case.addClassCleanup(folder.cleanup)
    deployment = Deployment(shape, pathlib.Path(folder.name))
    for name in list(deployment.settings):
        if name[-1] not in hosts:
            del deployment.settings[name]
    for settings in deployment.settings.values():
        settings["timing"] = {"drain_s": DRAIN_S}
    test_case.addClassCleanup(deployment.close)
    return deployment


def start_small_deployment(
    deployment: Deployment, before_push=lambda: None
) -> None:
    """Starts a deployment and waits until all daemons answer in full.

    Args:
        deployment: The deployment.
        before_push: Called after the processes have started; may change the
            configuration that is then pushed.
    """
    deployment.start()
    before_push()
    deployment.push()
    deployment.wait_until(lambda: all_ready(deployment, 1))
    deployment.wait_until(lambda: all_answer_in_full(deployment, SERVICE))
