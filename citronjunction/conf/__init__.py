"""Settings of a process: keys with defaults, INI loading and validation."""
