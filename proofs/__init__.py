"""Integration tests with real processes, and measurements."""
