"""Randomized fault soak: real entry instances with a simulated store, upstreams and callers that inject faults from a seed."""
