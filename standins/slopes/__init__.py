"""Slopes of memory, processor time and bytes, measured on the real code."""
