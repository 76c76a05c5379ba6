"""Tasks that only the entry that holds the duties lease carries out."""
