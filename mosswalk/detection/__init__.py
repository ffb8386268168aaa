"""Failure detection among controllers.

A controller that is not heard from is suspected first. A verdict that it is dead follows only
after its lease in the state service has been ended, which fences it. This package is imported
only if the operators' file has a ``detection`` block. See docs/detection.md.
"""
