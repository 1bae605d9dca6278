"""Runs the tool: ``python -m rhubarbway.cli``."""

from rhubarbway.cli.app import main

if __name__ == "__main__":
    main()
