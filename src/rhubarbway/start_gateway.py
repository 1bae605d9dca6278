"""Starts a gateway with SIGHUP blocked, and without the modules of OpenSSL.

Importing a gateway takes some tenths of a second. A SIGHUP during that time would terminate the
process, although it only requests a reload of the settings, so it is blocked first.
"""

from __future__ import annotations

import signal
import sys

# Modules of the standard library that load OpenSSL. Other modules import them where they exist. A
# gateway speaks HTTP without TLS, and a tenth of its memory would be taken by a library that it
# never calls; ``hashlib`` and ``hmac`` then use the implementations that are built in.
OPENSSL_MODULES = ("ssl", "_hashlib")


def main() -> None:
    """Block SIGHUP, then import and run the gateway, which receives it by ``sigwait``."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    # An entry of None makes the import of a module fail as if it did not exist.
    sys.modules.update(dict.fromkeys(OPENSSL_MODULES))
    from rhubarbway import gateway

    gateway.main()


if __name__ == "__main__":
    main()
