"""Process ids, which are new for every run."""

import random

__all__ = ["new_process_id"]


def new_process_id(prefix: str, rng: random.Random) -> str:
    """Return `prefix`, a hyphen, and 48 random bits in hexadecimal."""
    return f"{prefix}-{rng.getrandbits(48):012x}"
