"""Adapter to the users' platform: its names, message formats and calls.

This platform consists of the callers and replicas that a gateway connects, and of the metadata
store, which holds the registry and the configuration. ``rhubarbwayd`` does not use this package;
its ``PlatformService`` reads the configuration service and the host list.

The adapter makes no decisions. It converts the platform's messages into the classes of
``rhubarbway.model``, whose fields are named after what they hold; the platform's names appear
nowhere else in the product.
"""
