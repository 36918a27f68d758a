"""An odd entry among the members hides no other member."""

import asyncio
from collections import abc
import json
from typing import Final

import pytest

from borageshelf.entry import membership
from standins import memory_store
from tests import odd_values
from tests import test_odd_owner_records as owner_support

TIMEOUT_S: Final = 10
OWN: Final = membership.Member('entry-1', 'boot', '127.0.0.1:1', 'north')


def encode_member(entry_id: str, **changes: object) -> bytes:
    """Return the value of a member's key."""
    return json.dumps(
        {
            'entry_id': entry_id,
            'boot_id': 'boot',
            'address': '127.0.0.1:3',
            'data_centre': 'north',
            'shards': {'0': 9},
            **changes,
        }
    ).encode()


def list_odd_members() -> list[bytes]:
    """Return odd values for the key of ``entry-3``."""
    valid = encode_member('entry-3')
    return [
        *odd_values.NO_DOCUMENTS,
        *(
            odd_values.add_field(valid, odd_values.nest_lists(depth))
            for depth in odd_values.DEPTHS
        ),
        *(
            encode_member('entry-3', address=address)
            for address in odd_values.ODD_ADDRESSES
        ),
        *(
            valid.replace(b'"0": 9', b'"0": ' + number.encode())
            for number in (
                *odd_values.HUGE_NUMBERS,
                *odd_values.SMALL_NUMBERS,
            )
        ),
        # Would hide a sound member of that id.
        encode_member('entry-2'),
    ]


async def wait_until(is_met: abc.Callable[[], bool]) -> None:
    """Wait until a condition is met."""
    async with asyncio.timeout(TIMEOUT_S):
        while not is_met():
            await asyncio.sleep(0.01)


@pytest.mark.parametrize('odd', list_odd_members())
def test_odd_member_ends_no_watch(odd: bytes) -> None:
    """Guards against an entry that does not notice others any more."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        await store.put('entries/entry-3', odd, 0)
        await store.put('entries/entry-2', encode_member('entry-2'), 0)
        members = membership.Membership(store, OWN, lambda: None)
        members.start()

        def list_ids() -> list[str]:
            return [member.entry_id for member in members.list_members()]

        await wait_until(lambda: list_ids() == ['entry-1', 'entry-2'])
        # The same in an answer of the watch.
        await owner_support.write_odd(store, 'entries/entry-4', odd)
        await owner_support.write_odd(store, 'entries/entry-3', odd)
        await store.put('entries/entry-5', encode_member('entry-5'), 0)
        await wait_until(lambda: 'entry-5' in list_ids())
        assert list_ids() == ['entry-1', 'entry-2', 'entry-5']
        assert members.find_owner(0) is not None
        await members.stop()

    asyncio.run(check())


@pytest.mark.parametrize('odd', list_odd_members()[::6])
def test_entry_writes_its_key_again_over_an_odd_value(odd: bytes) -> None:
    """Guards against an entry that the others lose for good."""

    async def check() -> None:
        store = memory_store.MemoryStore()
        members = membership.Membership(store, OWN, lambda: None)
        members.start()

        async def is_stored() -> bool:
            entry = await store.get('entries/entry-1')
            return entry is not None and membership._decode(entry) is not None

        await owner_support.wait_until(is_stored)
        await owner_support.write_odd(store, 'entries/entry-1', odd)
        await owner_support.wait_until(is_stored)
        await members.stop()

    asyncio.run(check())
