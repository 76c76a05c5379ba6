"""Stand-ins for external systems, with the same HTTP interfaces."""
