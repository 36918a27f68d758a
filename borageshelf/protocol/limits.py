"""Bounds that both ends of the internal protocol rely on."""

from typing import Final

# Data of one answer that an agent may send before the first CallCredit. Each
# CallCredit extends the window.
CALL_WINDOW_BYTES: Final = 256 * 1024
CHUNK_LIMIT_BYTES: Final = 64 * 1024
# Bodies of calls; a message must also stay below gRPC's default of 4 MB.
BODY_LIMIT_BYTES: Final = 1_000_000
