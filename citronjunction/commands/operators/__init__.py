"""Commands of citronctl, one module each."""
