"""Test cluster: entry daemons as processes, with a simulated store and back ends.

The store, the back ends and the callers run in the process of the test and inject
faults on demand; each entry VM is a process of its own.
"""
