"""Adapter to the users' platform: its names, message formats and calls.

The adapter makes no decisions. It converts the platform's messages into the classes of
``rhubarbway.model``, whose fields are named after what they hold; the platform's names appear
nowhere else in the product.
"""
