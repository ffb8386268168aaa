"""mosswalk: a cluster scheduler that rents its machines by load."""

__version__ = "0.1.0"
