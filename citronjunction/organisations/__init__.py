"""Organisations, their shares and credentials."""
