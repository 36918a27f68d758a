"""Hosts many worker stand-ins in one process, to save memory.

``python -m bench.worker_host --count N`` prints one ``worker URL`` line for
each and then ``all workers listen``.
"""

import argparse
import asyncio
import sys

from borageshelf.model import resources
from standins import clocks
from standins import http_server
from standins import virtual_worker
from standins import worker as worker_module

CAPACITY = resources.Resources(60_000, 250_000, 2)


async def _settle(workers: list[virtual_worker.VirtualWorker]) -> None:
    while True:
        for worker in workers:
            worker.advance_to_now()
        await asyncio.sleep(0.2)


def main() -> None:
    """Run the workers until the lifetime is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, required=True)
    http_server.add_lifetime_flag(parser)
    flags = parser.parse_args()
    loop = http_server.install_reactor()
    reactor = http_server.find_reactor()
    workers = [
        virtual_worker.VirtualWorker(
            virtual_worker.WorkerSettings(
                name=f'worker-{number}', capacity=CAPACITY
            ),
            clocks.SystemClock(),
        )
        for number in range(flags.count)
    ]

    def start() -> None:
        for worker in workers:
            site = worker_module.make_site(worker)
            port = http_server.find_port(http_server.listen(site, 0))
            print(f'worker http://{http_server.LISTEN_ADDRESS}:{port}')
        print('all workers listen')
        sys.stdout.flush()
        tasks.append(loop.create_task(_settle(workers)))

    tasks: list[asyncio.Task[None]] = []
    reactor.callWhenRunning(start)
    reactor.callLater(flags.lifetime_s, reactor.stop)
    reactor.run()


if __name__ == '__main__':
    main()
