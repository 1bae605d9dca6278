"""The command-line tool ``rhubarbway``."""

from rhubarbway.cli.app import main

__all__ = ["main"]
