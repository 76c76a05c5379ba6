"""Peer links of a node: which peers it dials and what it publishes."""
