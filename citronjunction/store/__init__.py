"""Clients of the platform: Object API, cloud API, host list."""
