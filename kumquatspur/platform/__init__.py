"""Adapter to the platform that runs the system: formats, headers and store.

This package only translates: it decodes the platform's documents, headers and
paths into the records of `kumquatspur.core.routing`.
"""
