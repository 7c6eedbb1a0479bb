"""Load tool: runs scenarios of open-loop arrivals and faults, and reports latencies."""
