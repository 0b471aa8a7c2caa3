"""Writes the example configuration folders of the brief's deployments."""

import pathlib

from standins.shapes import SHAPES, write_folder

for shape in SHAPES.values():
    write_folder(shape, pathlib.Path("examples") / shape.name)
