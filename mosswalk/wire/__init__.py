"""The wire formats of every protocol mosswalk speaks; usable by clients on their own.

Attribute names are the field's usual ones; the names that travel are given by ``field(name=...)``.
Nothing here does I/O, so a client may import this package alone.
"""
