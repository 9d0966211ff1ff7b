"""One server as a process of its own: `server_process.py ID SERVICE ADDRESS ZONE WORK_S FILE`.

Its sockets have the segment size of an ordinary network and a receive buffer of 64 KiB.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common.fleet import Record, Server

SEGMENT, BUFFER = 1460, 64 * 1024  # bytes


async def serve(id_: str, service: str, address: str, zone: str, work_s: str, file: str) -> None:
    """Serve until the process is ended."""
    record = Record(Path(file).parent, Path(file).name)
    server = Server(id_, service, address, zone, record)
    slots = asyncio.Semaphore(server.slots)

    async def work(one: Server, first: str, headers: dict[str, str], body: bytes) -> None:
        async with slots:
            await asyncio.sleep(float(work_s))

    server.before_answer = work
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
    listener.bind((host, int(port)))
    await asyncio.start_server(server.serve, sock=listener)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(*sys.argv[1:]))
