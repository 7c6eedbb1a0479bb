"""Randomized soak: real daemons, faults from outside, promises checked meanwhile."""
