"""The users' platform: its names, formats and calls.

Nothing here decides anything. Each name of the wire is decoded once, into a class of
``rhubarbway.model`` whose fields say what they hold, and appears nowhere else in the product.
"""
