"""The platform's list of servers: all its pages, one call after another, within a time."""

from __future__ import annotations

import asyncio
import json
from urllib.parse import quote

import httptools

from ivymux.config import Address

PATIENCE = (
    1.5  # seconds for the whole list: half of the shortest time in which doors must know of a server's end
)
MOST_PAGES = 64
MOST_PAGE = 4 << 20


class PlatformError(Exception):
    """The list could not be read; the text names the step and the peer."""

    code = "platform"


class Answer:
    """One answer, as httptools reads it."""

    def __init__(self) -> None:
        self.body, self.whole = bytearray(), False

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.whole = True


async def call(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, path: str) -> bytes:
    writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
    answer = Answer()
    parser = httptools.HttpResponseParser(answer)
    while not answer.whole:
        data = await reader.read(1 << 16)
        if not data or len(answer.body) > MOST_PAGE:
            raise PlatformError(f"GET {path}: the answer broke off")
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise PlatformError(f"GET {path}: {error}") from None
    if parser.get_status_code() != 200:
        raise PlatformError(f"GET {path}: {parser.get_status_code()}")
    return bytes(answer.body)


class Platform:
    """One connection, kept while it serves."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def pages(self) -> list[bytes]:
        """Every page of the list; raises PlatformError."""
        try:
            async with asyncio.timeout(PATIENCE):
                fresh = self.streams is None
                try:
                    return await self.walk()
                except (OSError, PlatformError):
                    if fresh:
                        raise
                    self.close()  # the kept connection may have been closed meanwhile
                    return await self.walk()
        except (OSError, TimeoutError, PlatformError) as error:
            self.close()
            text = str(error) or type(error).__name__
            raise PlatformError(f"list of servers, {self.address.host}: {text}") from None

    async def walk(self) -> list[bytes]:
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.address.host, self.address.port)
        found: list[bytes] = []
        path = "/instances"
        while len(found) < MOST_PAGES:
            found.append(await call(*self.streams, self.address.host, path))
            try:
                token = json.loads(found[-1]).get("nextToken")
            except (ValueError, AttributeError):
                raise PlatformError(f"GET {path}: not JSON") from None
            if not token:
                return found
            path = f"/instances?pageToken={quote(str(token))}"
        raise PlatformError("more pages than there can be")

    def close(self) -> None:
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
