"""Stand-ins for the services and servers that entry hosts use, for tests and the demo."""
