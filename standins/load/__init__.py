"""Load tool: open-loop arrivals, faults on a schedule, histograms and reports."""
