"""Stand-in of the users' store: their protocol around the in-memory store.

The documents are written out here and not taken from the adapter, so that a
mistake in the adapter is not repeated here and thereby hidden.
"""

import base64
from typing import Any

from twisted.web import http
from twisted.web import server

from borageshelf import errors
from borageshelf.ports import store as store_interface
from standins import http_server
from standins import memory_store

Document = dict[str, Any]


class PlatformStoreHandlers:
    """The calls of the users' store as HTTP handlers.

    :ivar is_refusing: whether an outage refuses all calls
    """

    def __init__(self, store: memory_store.MemoryStore) -> None:
        self._store = store
        self._lease_ids: dict[int, str] = {}
        self._lease_numbers: dict[str, int] = {}
        self.is_refusing = False

    def make_site(self) -> server.Site:
        """Return the HTTP site."""
        route = http_server.Route
        routes = {
            ('GET', '/-/kv-key'): route(self._get, True),
            ('GET', '/-/kv-range'): route(self._range, True),
            ('GET', '/-/kv-watch'): route(self._watch, True),
            ('POST', '/-/kv-txn'): route(self._commit),
            ('POST', '/-/kv-lease'): route(self._grant_lease),
        }
        return server.Site(
            http_server.ApiResource(routes, self._find_lease_route)
        )

    def _find_lease_route(
        self, method: str, path: str
    ) -> http_server.Route | None:
        prefix, _, number = path.rpartition('/')
        if not number.isdigit():
            return None
        if (method, prefix) == ('POST', '/-/kv-keep'):
            return http_server.Route(
                lambda request: self._renew_lease(request, int(number))
            )
        if (method, prefix) == ('DELETE', '/-/kv-lease-end'):
            return http_server.Route(
                lambda request: self._revoke_lease(request, int(number))
            )
        return None

    def _refuse_during_outage(self, request: http.Request) -> bool:
        """Answer 503 during an outage; tell whether it did."""
        if self.is_refusing:
            http_server.answer_document(request, 503, {})
        return self.is_refusing

    def _describe_entry(self, entry: store_interface.Entry) -> Document:
        if entry.deleted:
            return {
                'Key': entry.key,
                'Revision': entry.revision,
                'Tombstone': True,
            }
        return {
            'Key': entry.key,
            'Value': base64.b64encode(entry.value).decode(),
            'Revision': entry.revision,
            'CreatedRev': entry.revision,
            'Lease': self._lease_numbers.get(entry.lease_id, 0),
        }

    async def _get(self, request: http.Request) -> object:
        if self._refuse_during_outage(request):
            return http_server.ALREADY_ANSWERED
        entry = await self._store.get(
            http_server.read_argument(request, 'Key')
        )
        if entry is None:
            http_server.answer_document(
                request, 404, {'AtRev': self._store.revision}
            )
            return http_server.ALREADY_ANSWERED
        return {**self._describe_entry(entry), 'AtRev': self._store.revision}

    async def _range(self, request: http.Request) -> object:
        if self._refuse_during_outage(request):
            return http_server.ALREADY_ANSWERED
        prefix = http_server.read_argument(request, 'PathPrefix')
        after = ''
        if b'After' in (request.args or {}):
            after = http_server.read_argument(request, 'After')
        found = [
            entry
            for entry in await self._store.list(prefix)
            if entry.key > after
        ]
        # Small pages, so that tests read more than one page.
        return {
            'items': [self._describe_entry(entry) for entry in found[:3]],
            'HasMore': len(found) > 3,
            'AtRev': self._store.revision,
        }

    async def _watch(self, request: http.Request) -> object:
        if self._refuse_during_outage(request):
            return http_server.ALREADY_ANSWERED
        wait_ms = int(http_server.read_argument(request, 'WaitMs'))
        answer = await self._store.watch(
            http_server.read_argument(request, 'PathPrefix'),
            int(http_server.read_argument(request, 'After')),
            self._store.now_ms() + wait_ms,
        )
        if answer.compacted:
            http_server.answer_document(request, 410, {})
            return http_server.ALREADY_ANSWERED
        return {
            'events': [
                self._describe_entry(entry) for entry in answer.entries
            ],
            'AtRev': answer.revision,
        }

    async def _commit(self, request: http.Request) -> object:
        if self._refuse_during_outage(request):
            return http_server.ALREADY_ANSWERED
        document = http_server.read_document(request, Document)
        rows = document['ExpectedRev']
        try:
            with http_server.LoseAnswers(errors.STORE_UNCERTAIN):
                revision = await self._store.commit(
                    store_interface.Transaction(
                        tuple((row['Key'], row['Revision']) for row in rows),
                        tuple(
                            store_interface.Write(
                                row['Key'],
                                base64.b64decode(row['Value']),
                                self._lease_ids.get(row.get('Lease', 0), ''),
                            )
                            for row in document['Writes']
                        ),
                        tuple(document['Remove']),
                    )
                )
        except errors.BorageshelfError as error:
            status = {
                errors.STORE_CONFLICT: 412,
                errors.LEASE_LOST: 404,
            }.get(error.code, 503)
            http_server.answer_document(request, status, {'items': []})
            return http_server.ALREADY_ANSWERED
        return {'Revision': revision}

    async def _grant_lease(self, request: http.Request) -> object:
        if self._refuse_during_outage(request):
            return http_server.ALREADY_ANSWERED
        document = http_server.read_document(request, Document)
        lease = await self._store.grant_lease(document['TtlMs'])
        number = len(self._lease_ids) + 70_000
        self._lease_ids[number] = lease.lease_id
        self._lease_numbers[lease.lease_id] = number
        return {'Lease': number, 'TtlMs': document['TtlMs']}

    async def _renew_lease(self, request: http.Request, number: int) -> object:
        if self._refuse_during_outage(request):
            return http_server.ALREADY_ANSWERED
        try:
            await self._store.renew_lease(self._lease_ids.get(number, ''))
        except errors.BorageshelfError:
            http_server.answer_document(request, 404, {})
            return http_server.ALREADY_ANSWERED
        return {'TtlMs': 2_000}

    async def _revoke_lease(
        self, request: http.Request, number: int
    ) -> object:
        await self._store.revoke_lease(self._lease_ids.get(number, ''))
        return {}
