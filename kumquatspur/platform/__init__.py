"""Adapter to the users' platform: names, formats and its store.

Only translation stands here. Field names, header names and paths of the
platform are decoded into the records of `kumquatspur.core.routing`.
"""
