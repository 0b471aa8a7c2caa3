"""Servers, clients and streams. The only package that performs I/O."""
