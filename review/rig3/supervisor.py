"""Starts workers again that have ended."""

import asyncio

from rig import find_port

WORKERS = 5
#: Seconds after which a crashed worker is back.
BACK_S = 2.5


class Supervisor:
    """Starts each worker again some seconds after its end, with a new id at its address."""

    def __init__(self, rig, service):
        self.rig = rig
        self.service = service
        self.addresses = [
            f"127.0.2.{number}:{find_port(f'127.0.2.{number}')}" for number in range(1, WORKERS + 1)
        ]
        self.starts = [0] * WORKERS
        self.processes = [self.start(number) for number in range(WORKERS)]

    def start(self, number):
        self.starts[number] += 1
        name = f"w-{number + 1}-{self.starts[number]}"
        return self.rig.start_worker(name, self.service, self.addresses[number])

    async def keep(self, number):
        while True:
            if self.processes[number].poll() is not None:
                await asyncio.sleep(BACK_S)
                self.processes[number] = self.start(number)
            await asyncio.sleep(0.05)
