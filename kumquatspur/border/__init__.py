"""Validated models and codecs of all data that enters or leaves a process."""
