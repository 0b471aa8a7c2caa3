"""Stand-ins for the external systems, with switchable faults, for tests."""
