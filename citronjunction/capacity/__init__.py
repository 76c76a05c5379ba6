"""How many workers the demand needs, from what entries see of it."""
