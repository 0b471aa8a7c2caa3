#!/bin/sh
# CASE=memory and CASE=versions run the further checks that claim.txt names.
exec python3 "$(dirname "$0")/${CASE:-case}.py"
