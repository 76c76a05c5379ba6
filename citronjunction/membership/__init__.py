"""Membership of entries: facts, gossip, liveness, serving entries, topology."""
