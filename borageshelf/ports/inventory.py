"""Interface of the platform's list of VMs."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(frozen=True)
class UpExecutors:
    """The executors that a reading of the list showed as up.

    :param is_one_page: whether the list was read at once, so that it can't
        have changed meanwhile
    """

    ids: frozenset[str]
    is_one_page: bool = True


class InventoryUnavailable(Exception):
    """The list could not be read as a whole."""


class Inventory(Protocol):
    """Knows which executors the platform counts as up.

    The executor of a VM that is suspended or cut off is up; that of a VM that
    has lost power or was removed is not.
    """

    async def list_up_executors(self) -> UpExecutors:
        """Return all executors that are up.

        :raises InventoryUnavailable: if an executor may be missing
        """
