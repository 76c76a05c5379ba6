"""Serving system for model-backed applications on reclaimable hosts."""

VERSION = '0.2.0'
