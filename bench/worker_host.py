"""Runs many worker stand-ins in one process, to save memory.

``python -m bench.worker_host --count N`` prints a line ``worker URL`` for
each worker and then ``all workers listen``.
"""

import argparse
import asyncio
import sys

from borageshelf.model import resources
from standins import clocks
from standins import http_server
from standins import virtual_worker
from standins import worker

WORKER_CAPACITY = resources.Resources(60_000, 250_000, 2)


async def _settle_periodically(
    workers: list[virtual_worker.VirtualWorker],
) -> None:
    while True:
        for hosted_worker in workers:
            hosted_worker.advance_to_now()
        await asyncio.sleep(0.2)


def main() -> None:
    """Run the workers until their lifetime ends."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, required=True)
    http_server.add_lifetime_flag(parser)
    flags = parser.parse_args()
    loop = http_server.install_reactor()
    reactor = http_server.find_reactor()
    workers = [
        virtual_worker.VirtualWorker(
            virtual_worker.WorkerSettings(
                name=f'worker-{number}', capacity=WORKER_CAPACITY
            ),
            clocks.SystemClock(),
        )
        for number in range(flags.count)
    ]

    def start() -> None:
        for hosted_worker in workers:
            site = worker.make_site(hosted_worker)
            port = http_server.find_port(http_server.listen(site, 0))
            print(f'worker http://{http_server.LISTEN_ADDRESS}:{port}')
        print('all workers listen')
        sys.stdout.flush()
        tasks.append(loop.create_task(_settle_periodically(workers)))

    tasks: list[asyncio.Task[None]] = []
    reactor.callWhenRunning(start)
    reactor.callLater(flags.lifetime_s, reactor.stop)
    reactor.run()


if __name__ == '__main__':
    main()
