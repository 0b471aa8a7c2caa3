"""Immutable records, identifiers and verdicts. No I/O."""
