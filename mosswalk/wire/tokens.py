"""Tokens, by which workers tell who may command them, and the terms that they belong to.

A worker refuses messages with a token lower than the highest one it has seen. A term that all
controllers of the first two versions may act in has one token, its own number. A later one has a
range of tokens, so that its leader can make a single worker refuse what was sent to it before.
"""

from __future__ import annotations

# The bits of a token that number the tokens of one term; the term's number is in the bits above.
_GENERATION_BITS = 24
_GENERATION_MASK = (1 << _GENERATION_BITS) - 1


def first_token_of_range(term: int) -> int:
    """The lowest token in the range of a term."""
    return term << _GENERATION_BITS


def is_last_of_range(token: int) -> bool:
    """Whether the next higher token belongs to the next term."""
    return token & _GENERATION_MASK == _GENERATION_MASK


def term_of_token(token: int) -> int:
    """The number of the term that a token belongs to.

    Tokens of terms without a range are the terms' numbers, which stay below the first range.
    """
    return token >> _GENERATION_BITS or token
