"""Coordination logic of a query tier over many shards.

The library makes all decisions but does no input or output itself: clocks, clients and
links are abstract base classes that the embedding program implements, and random number
generators are passed in.
"""
