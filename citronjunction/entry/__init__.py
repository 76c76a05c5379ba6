"""The entry: routes callers' requests to workers and returns answers."""
