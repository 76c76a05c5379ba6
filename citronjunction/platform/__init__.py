"""Adapter to the users' platform: their names, codecs, paths and headers."""
