"""Randomized soak of gateways as real processes, with faults injected from outside."""
