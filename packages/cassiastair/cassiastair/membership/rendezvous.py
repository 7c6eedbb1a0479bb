"""Rendezvous hashing: every VM computes the same order without agreement."""

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Return candidates in the order of their hash with a key.

    Parameters
    ----------
    key : str
        Name of what is assigned to the first candidates.
    names : iterable of str
        Candidates. Adding one does not change the order of the others.
    """
    return sorted(names, key=lambda name: (hash_pair(key, name), name))


def hash_pair(key: str, name: str) -> int:
    """Return a 64-bit hash of a key and a candidate."""
    return xxhash.xxh3_64_intdigest(f"{key}\n{name}".encode())
