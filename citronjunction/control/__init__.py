"""The control process, which carries out moves and places hosts."""
