"""Start of a gateway as a process.

A gateway imports for some tenths of a second before it waits for signals. A SIGHUP in that time
would end it, although it only asks for the settings to be read again, so it is held back first.
"""

from __future__ import annotations

import signal


def main() -> None:
    """Hold SIGHUP back, then run the gateway, which takes it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from rhubarbway import gateway

    gateway.main()


if __name__ == "__main__":
    main()
