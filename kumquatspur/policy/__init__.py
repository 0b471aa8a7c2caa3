"""Decision code without I/O.

Callers pass the current time and the source of randomness, so that every
decision can be tested and replayed.
"""
