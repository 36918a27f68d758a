"""Stand-in of the platform's list of machines.

The document is written out here and not taken from the adapter, so that a
mistake in the adapter is not repeated here.
"""

from collections import abc
from typing import Any, Final

from twisted.web import http
from twisted.web import server

from borageshelf import errors
from standins import http_server
from standins import platform_executor

DEFAULT_PAGE_SIZE: Final = 4


class PlatformMachines:
    """Lists the machines of executors, which may be added at any time.

    :ivar is_refusing: whether an outage refuses all calls
    """

    def __init__(
        self,
        executors: abc.Sequence[platform_executor.PlatformExecutor],
        page_size: int = DEFAULT_PAGE_SIZE,
    ) -> None:
        self._executors = executors
        self._page_size = page_size
        self.is_refusing = False

    def make_site(self) -> server.Site:
        """Return the HTTP site."""
        route = http_server.Route(self._list, True)
        return server.Site(
            http_server.ApiResource({('GET', '/-/machines'): route})
        )

    async def _list(self, request: http.Request) -> dict[str, Any]:
        if self.is_refusing:
            raise errors.BorageshelfError(errors.STORE_UNAVAILABLE, 'refusing')
        token = request.args.get(b'PageToken', [b'0'])[0]
        begin = int(token)
        end = begin + self._page_size
        return {
            'Machines': [
                {
                    'Machine': f'm-{number}',
                    'Pool': 'pool',
                    'State': 'down' if executor.is_down else 'up',
                    'Zone': 'tajo-norte',
                    'Labels': ['a', 'r1'],
                    'Capacity': {'Cpu': 8_000, 'MemMb': 8_000},
                    'Id': '' if executor.is_down else executor.instance_id,
                }
                for number, executor in enumerate(self._executors)
                if begin <= number < end
            ],
            'NextToken': str(end) if end < len(self._executors) else None,
        }
