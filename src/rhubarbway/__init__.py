"""A query tier that fans each query out to many shards and answers within its deadline."""

__version__ = "0.1.0"
