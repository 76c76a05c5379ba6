"""One budget of the memory and connections that callers take."""
