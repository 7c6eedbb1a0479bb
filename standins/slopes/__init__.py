"""Growth of memory, processor time and traffic with size, measured on the real code."""
