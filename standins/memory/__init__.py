"""Benchmark of the memory that callers make a VM's process hold."""
