"""Kernel services of both kinds of entry hosts, query hosts and gateways.

They own the threads, and connect the logic in ``decisions`` to the messages and connections in
``edge``.
"""
