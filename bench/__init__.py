"""Benchmarks with real daemons and stand-ins on loopback."""
