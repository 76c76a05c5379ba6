"""Upstreams and their workers, with versions, load and health."""
