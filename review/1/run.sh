#!/bin/sh
# CASE=stall runs the second check that claim.txt describes.
exec python3 "$(dirname "$0")/${CASE:-case}.py"
