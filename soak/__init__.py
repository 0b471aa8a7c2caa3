"""Randomized soak test of entry hosts as processes, with injected faults."""
