"""Work that one entry at a time does under a lease."""
