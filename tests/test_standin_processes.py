"""Tests that each stand-in runs as a separate process."""

import asyncio
import contextlib
import signal
import subprocess
import sys

import pytest

from borageshelf.ports import http_executor
from borageshelf.ports import http_store
from borageshelf.ports import http_worker
from tests import loopback

ARGUMENTS = {
    'store': ['--writes-per-second', '50'],
    'worker': ['--name', 'w-1', '--accelerators', '4'],
    'executor': ['--service', 'pigment'],
}


@pytest.mark.parametrize('name', ['store', 'worker', 'executor'])
def test_process_listens_answers_and_stops(name: str) -> None:
    """Guards against a stand-in that works only inside the test process."""
    command = [sys.executable, '-m', f'standins.{name}', '--port', '0']
    with subprocess.Popen(
        [*command, *ARGUMENTS[name]], stdout=subprocess.PIPE, text=True
    ) as process:
        try:
            assert process.stdout is not None
            line = process.stdout.readline().strip()
            address = line.removeprefix('listening on ')
            loopback.run(check_answer(name, f'http://{address}'))
            process.send_signal(signal.SIGTERM)
            process.wait(loopback.HANG_LIMIT_S)
        finally:
            process.kill()


async def check_answer(name: str, url: str) -> None:
    """Call a stand-in through its client and check the answer."""
    async with contextlib.AsyncExitStack() as stack:
        if name == 'store':
            store = http_store.HttpStore(url)
            stack.push_async_callback(store.close)
            assert await store.put('a', b'', 0) == 1
        elif name == 'worker':
            worker = http_worker.HttpWorker(url)
            stack.push_async_callback(worker.close)
            assert (await worker.describe()).capacity.accelerators == 4
        else:
            executor = http_executor.HttpExecutor(url, 2)
            stack.push_async_callback(executor.close)
            assert (await executor.describe()).service == 'pigment'
    await asyncio.sleep(0)
