"""Requests that reach an address after another service's target has taken it over."""
