"""Message encodings, HTTP connections and JSON; no other package of the product opens sockets.

A *task* is a function that runs in a thread of its own.
"""
