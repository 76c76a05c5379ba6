"""Errors that decoders raise for input of others."""

# RecursionError: input nested too deeply; MemoryError: too large;
# ArithmeticError: numbers out of range.
DECODE_ERRORS = (
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    ArithmeticError,
    RecursionError,
    MemoryError,
)
