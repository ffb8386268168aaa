"""Failure detection among controllers: suspicion first, then a verdict that a lease has fenced.

Imported only if the operators' file has a ``detection`` block. See docs/detection.md.
"""
