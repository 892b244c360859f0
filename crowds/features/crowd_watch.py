"""
crowd_watch
~~~~~~~~~~~

Watches what a process holds: memory, unread bytes in the kernel, descriptors.
"""

import os
from pathlib import Path
from threading import Event, Thread

MB = 1_000_000
INTERVAL_S = 0.05


def read_memory(pid):
    """:return: bytes of memory that a process uses now, and at its peak"""
    status = Path(f"/proc/{pid}/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return [int(fields[name].split()[0]) * 1024 for name in ("VmRSS", "VmHWM")]


def list_sockets(pid):
    """:return: inodes of the sockets of a process, and the number of its sockets and pipes"""
    inodes, count = set(), 0
    for descriptor in os.listdir(f"/proc/{pid}/fd"):
        try:
            name = os.readlink(f"/proc/{pid}/fd/{descriptor}")
        except OSError:
            continue
        if name.startswith("socket:["):
            inodes.add(name[len("socket:[") : -1])
        count += name.startswith(("socket:", "pipe:"))
    return inodes, count


def count_unread(pid):
    """:return: bytes that the kernel has received for a process and it has not read"""
    inodes, _ = list_sockets(pid)
    unread = 0
    for protocol in ("tcp", "udp"):
        for line in Path(f"/proc/{pid}/net/{protocol}").read_text().splitlines()[1:]:
            fields = line.split()
            # A connection that was not accepted yet has no inode; a listener counts connections.
            if fields[9] in inodes and fields[3] != "0A":
                unread += int(fields[4].split(":")[1], 16)
    return unread


class Watch:
    """Records the most that a process has held until it is closed.

    :param pid: id of the process
    """

    def __init__(self, pid):
        self._pid = pid
        #: Most bytes of memory and unread bytes together.
        self.most_bytes = 0
        self.most_unread = 0
        self.most_sockets = 0
        self._ended = Event()
        self._thread = Thread(target=self._run, daemon=True)
        self._thread.start()

    def close(self):
        self._ended.set()
        self._thread.join()

    def _run(self):
        while not self._ended.wait(INTERVAL_S):
            try:
                self._sample()
            except (OSError, KeyError):
                # The process has ended, which the test checks.
                return

    def _sample(self):
        unread = count_unread(self._pid)
        memory, peak = read_memory(self._pid)
        self.most_unread = max(self.most_unread, unread)
        self.most_bytes = max(self.most_bytes, memory + unread, peak)
        self.most_sockets = max(self.most_sockets, list_sockets(self._pid)[1])
