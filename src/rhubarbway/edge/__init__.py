"""Message encodings, HTTP connections and JSON; no other package of the product opens sockets."""
