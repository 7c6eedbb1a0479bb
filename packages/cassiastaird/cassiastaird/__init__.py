"""Entry daemon: the adapters around the coordination parts, and their wiring."""
