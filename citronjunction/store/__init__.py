"""Store of objects: its port, clients of the platform and a local mirror."""
