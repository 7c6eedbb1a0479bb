"""Randomized soak test of entry daemons in processes.

Each seed draws a plan of faults, which run while callers send requests; afterwards the
guarantees are checked against what callers and back ends recorded.
"""
