"""Starts a gateway with SIGHUP blocked.

Importing a gateway takes some tenths of a second. A SIGHUP during that time would terminate the
process, although it only requests a reload of the settings, so it is blocked first.
"""

from __future__ import annotations

import signal


def main() -> None:
    """Block SIGHUP, then import and run the gateway, which receives it by ``sigwait``."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    from rhubarbway import gateway

    gateway.main()


if __name__ == "__main__":
    main()
