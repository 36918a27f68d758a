"""Store stand-in as a process: an HTTP server for the in-memory store.

``python -m standins.store --port N``. Control endpoints: ``POST
/control/faults`` sets the faults, ``POST /control/compact`` discards old
revisions and ``GET /control/counters`` returns the call counts.
"""

import argparse

from twisted.web import http
from twisted.web import server

from borageshelf import errors
from borageshelf.ports import http_store
from standins import clocks
from standins import faults
from standins import http_server
from standins import memory_store


class StoreHandlers:
    """The calls of the store as HTTP handlers."""

    def __init__(self, store: memory_store.MemoryStore) -> None:
        self._store = store

    def make_routes(self) -> dict[tuple[str, str], http_server.Route]:
        """Return the routes of the store and its control endpoints."""
        route = http_server.Route
        return {
            ('GET', '/v1/get'): route(self._get, True),
            ('GET', '/v1/list'): route(self._list, True),
            ('GET', '/v1/watch'): route(self._watch, True),
            ('POST', '/v1/put'): route(self._put),
            ('POST', '/v1/delete'): route(self._delete),
            ('POST', '/v1/lease/grant'): route(self._grant),
            ('POST', '/v1/lease/renew'): route(self._renew),
            ('POST', '/v1/lease/revoke'): route(self._revoke),
            ('POST', '/control/faults'): route(self._set_faults),
            ('POST', '/control/compact'): route(self._compact),
            ('GET', '/control/counters'): route(self._count),
        }

    async def _get(self, request: http.Request) -> object:
        entry = await self._store.get(
            http_server.read_argument(request, 'key')
        )
        return http_store.GetAnswer(entry)

    async def _list(self, request: http.Request) -> object:
        prefix = http_server.read_argument(request, 'prefix')
        return http_store.ListAnswer(await self._store.list(prefix))

    async def _watch(self, request: http.Request) -> object:
        return await self._store.watch(
            http_server.read_argument(request, 'prefix'),
            int(http_server.read_argument(request, 'after_revision')),
            int(http_server.read_argument(request, 'deadline_ms')),
        )

    async def _put(self, request: http.Request) -> object:
        put = http_server.read_document(request, http_store.PutRequest)
        with _lose_uncertain_answers():
            revision = await self._store.put(
                put.key, put.value, put.expected_revision, put.lease_id
            )
        return http_store.PutAnswer(revision)

    async def _delete(self, request: http.Request) -> object:
        delete = http_server.read_document(request, http_store.DeleteRequest)
        with _lose_uncertain_answers():
            await self._store.delete(delete.key, delete.expected_revision)
        return {}

    async def _grant(self, request: http.Request) -> object:
        grant = http_server.read_document(request, http_store.GrantRequest)
        with _lose_uncertain_answers():
            return await self._store.grant_lease(grant.ttl_ms)

    async def _renew(self, request: http.Request) -> object:
        lease = http_server.read_document(request, http_store.LeaseRequest)
        with _lose_uncertain_answers():
            return await self._store.renew_lease(lease.lease_id)

    async def _revoke(self, request: http.Request) -> object:
        lease = http_server.read_document(request, http_store.LeaseRequest)
        with _lose_uncertain_answers():
            await self._store.revoke_lease(lease.lease_id)
        return {}

    async def _set_faults(self, request: http.Request) -> object:
        plan = http_server.read_document(request, faults.FaultPlan)
        self._store.set_faults(plan)
        return {}

    async def _compact(self, request: http.Request) -> object:
        self._store.compact()
        return {}

    async def _count(self, request: http.Request) -> object:
        return {
            'calls': self._store.calls,
            'waiting_watches': self._store.waiting_watches,
            'revision': self._store.revision,
        }


def _lose_uncertain_answers() -> http_server.LoseAnswers:
    return http_server.LoseAnswers(errors.STORE_UNCERTAIN)


def make_site(store: memory_store.MemoryStore) -> server.Site:
    """Return the HTTP site of a store."""
    handlers = StoreHandlers(store)
    return server.Site(http_server.ApiResource(handlers.make_routes()))


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, default=0)
    parser.add_argument(
        '--reads-per-second',
        type=int,
        default=memory_store.READS_PER_SECOND,
    )
    parser.add_argument(
        '--writes-per-second',
        type=int,
        default=memory_store.WRITES_PER_SECOND,
    )
    parser.add_argument('--seed', type=int, default=0)
    http_server.add_lifetime_flag(parser)
    flags = parser.parse_args()

    def start() -> server.Site:
        return make_site(
            memory_store.MemoryStore(
                clocks.SystemClock(),
                flags.reads_per_second,
                flags.writes_per_second,
                flags.seed,
            )
        )

    http_server.run(start, flags.port, flags.lifetime_s)


if __name__ == '__main__':
    main()
