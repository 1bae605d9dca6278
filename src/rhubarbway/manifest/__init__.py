"""Parsing and validation of manifests."""

from rhubarbway.manifest.load import manifest_from_bytes, schema

__all__ = ["manifest_from_bytes", "schema"]
