"""Process launcher for the demonstration and the experiments."""
