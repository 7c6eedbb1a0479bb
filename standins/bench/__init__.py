"""Benchmarks that compare each mechanism with a simple baseline in the same run."""
