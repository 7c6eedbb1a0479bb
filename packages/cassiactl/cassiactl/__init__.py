"""Command line tool for the operators of the query tier."""
