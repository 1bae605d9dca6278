"""Stand-ins for the users' platform: its store, replicas and consumers, by their protocol."""
