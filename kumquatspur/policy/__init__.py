"""Decisions as pure functions. Time and randomness are arguments."""
