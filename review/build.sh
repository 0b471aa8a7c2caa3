#!/bin/sh
# The stand-ins need the standard library only.
exec python3 -m compileall -q "$(dirname "$0")"
