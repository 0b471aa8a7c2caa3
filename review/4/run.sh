#!/bin/sh
# CASE=stall and CASE=versions run the other checks that claim.txt describes.
exec python3 "$(dirname "$0")/${CASE:-case}.py"
