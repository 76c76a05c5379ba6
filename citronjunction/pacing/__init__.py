"""Pace of requests to workers that are cold or may become so, without I/O."""
