"""Stand-ins for the store, replicas and consumers of the users' platform, which gateways use."""
