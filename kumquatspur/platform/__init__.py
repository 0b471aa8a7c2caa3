"""Adapter to the users' platform: its formats, headers and store.

This package only translates: it decodes the platform's documents, headers and
paths into the records of `kumquatspur.core.routing`.
"""
