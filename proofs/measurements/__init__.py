"""Scenarios of ``proofs.measure``: real processes, load generators and summaries."""
