"""Adapter to the users' platform: its wire names, codecs, paths and headers."""
