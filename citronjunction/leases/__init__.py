"""Leases in the Object API, with an epoch as fencing token."""
