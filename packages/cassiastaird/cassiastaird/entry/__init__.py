"""Daemon that forwards callers' HTTP requests to targets by routes."""
