"""Attempts of a request: retries, budget, idempotency claims, suspects."""
