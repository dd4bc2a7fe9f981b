"""Keeps OpenSSL out of a process that speaks no TLS; import it before everything that hashes.

hashlib and hmac fall back to the hashes of the interpreter. OpenSSL takes 4 MiB of resident memory.
"""

from __future__ import annotations

import sys
from typing import Any

modules: dict[str, Any] = sys.modules
for name in ("_hashlib", "_ssl"):
    modules.setdefault(name, None)  # an import of the module then fails
