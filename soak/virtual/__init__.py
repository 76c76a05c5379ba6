"""A fault soak of gateways in virtual time, judged from what others saw."""
