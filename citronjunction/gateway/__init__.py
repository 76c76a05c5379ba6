"""Data plane on a platform: routes, workers, attempts, quotas."""
