"""Bounds that both ends of the protocol between processes rely on."""

from typing import Final

# Flow-control window of one answer: the data that an agent may send before the
# first CallCredit. Each CallCredit extends the window.
CALL_WINDOW_BYTES: Final = 256 * 1024
CHUNK_LIMIT_BYTES: Final = 64 * 1024
# Bound on the body of a call. Messages must stay below gRPC's default limit of
# 4 MB.
BODY_LIMIT_BYTES: Final = 1_000_000
