"""Reclaims of workers, whose runs are moved elsewhere before their end."""
