"""Types of the numbers that other programs send.

Decoding checks the ranges. They leave room for sums within the 64 bits of
MessagePack.
"""

from typing import Annotated, Final

import msgspec

# Larger integers are not exact in every JSON parser, and the records of the
# store hold 64 bits.
NUMBER_LIMIT: Final = 2**53

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_LIMIT)]
Number = Annotated[int, msgspec.Meta(ge=-NUMBER_LIMIT, le=NUMBER_LIMIT)]
# Also accepts a whole number.
Amount = Annotated[float, msgspec.Meta(ge=-NUMBER_LIMIT, le=NUMBER_LIMIT)]
