"""Measures the growth of state, messages, processor time and memory: ``make slopes``."""
