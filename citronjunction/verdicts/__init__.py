"""Outcome of a request: answered, not run, or may have run."""
