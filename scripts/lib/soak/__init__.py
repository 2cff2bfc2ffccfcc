"""Randomized fault soak: real entry instances among a store, upstreams and callers that misbehave by a seed."""
