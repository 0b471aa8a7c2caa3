"""Immutable records, events, actions and messages; no I/O."""
