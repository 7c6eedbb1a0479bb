"""Rendezvous hashing: every VM computes the same order without agreement."""

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of their hash with a key.

    Parameters
    ----------
    key : str
        What is to be owned or ordered.
    names : iterable of str
        Candidates. The order of the rest does not change when one is added.
    """
    return sorted(names, key=lambda name: (hash_pair(key, name), name))


def hash_pair(key: str, name: str) -> int:
    """Return a 64-bit hash of a key and a candidate."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())
