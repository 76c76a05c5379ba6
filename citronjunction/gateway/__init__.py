"""Data plane for a platform: routing, attempts, quotas and workers."""
