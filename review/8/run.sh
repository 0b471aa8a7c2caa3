#!/bin/sh
# Runs the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=.:target/deps exec python3 -S -W ignore -m review.8.case
