"""Message encodings and connections; the only package that handles HTTP, JSON and sockets."""
