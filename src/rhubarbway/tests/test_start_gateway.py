"""Tests of the start program of a gateway."""

import subprocess
import sys

from rhubarbway.start_gateway import OPENSSL_MODULES

IMPORT_GATEWAY = f"""
import sys
sys.modules.update(dict.fromkeys({OPENSSL_MODULES!r}))
import rhubarbway.gateway
print(*(name for name in ("pycurl", "_ssl", "_hashlib") if sys.modules.get(name)))
"""


class TestImports:
    def test_a_gateway_loads_neither_libcurl_nor_openssl(self):
        """Guards against an import that takes a tenth of the memory of the smallest hosts."""
        found = subprocess.run(
            [sys.executable, "-c", IMPORT_GATEWAY], capture_output=True, text=True, check=True
        )
        assert found.stdout.split() == []
