"""Writes the configuration folders of the reference deployments.

Run as `python -m standins`; the folders are written to `examples/`.
"""

import pathlib

from standins.shapes import SHAPES, write_folder

for shape in SHAPES.values():
    write_folder(shape, pathlib.Path("examples") / shape.name)
