"""Entry of callers' requests that routes forward: HTTP server, transport, wiring."""
