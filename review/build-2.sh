#!/bin/sh
# Builds the stand-ins and the cases of this review. It needs the build of the
# deploy file, and neither a network nor further packages.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=.:target/deps exec python3 -S -m compileall -q standins review/harness_2.py \
  review/6 review/8
