"""Membership of entries: facts, gossip, liveness, roles and topology."""
