"""Decision log, metrics, and traces read from log lines."""
