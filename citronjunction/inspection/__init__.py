"""Checks of a configuration before it is in force, and what it changes."""
