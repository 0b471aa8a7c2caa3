"""The test runner."""
