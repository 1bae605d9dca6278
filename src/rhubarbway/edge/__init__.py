"""Message encodings, HTTP connections and JSON, kept apart from decisions and services."""
