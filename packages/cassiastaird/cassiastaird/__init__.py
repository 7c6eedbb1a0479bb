"""Entry daemon: adapters for networks and processes around package cassiastair."""
