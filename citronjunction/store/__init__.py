"""Store of objects: its interface, platform clients and a local mirror."""
