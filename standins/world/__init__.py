"""Stand-ins for the users' platform: store, back ends, and callers, with faults."""
