"""Coordination parts of a query tier over many shards.

The library holds the decisions; clocks, random numbers and all input and output
come in through abstract base classes, so that other programs can embed it.
"""
