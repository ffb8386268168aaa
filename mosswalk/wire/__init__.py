"""The message formats of every protocol that mosswalk speaks.

Where an attribute's name differs from the encoded name, ``field(name=...)`` gives the latter.
Nothing here does I/O, so a client may import this package on its own.
"""
