"""Choice of a worker: candidates, prefix affinity, load and price."""
