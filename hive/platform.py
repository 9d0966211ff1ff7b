"""The platform's list of servers: all its pages, one call after another, within a time."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from urllib.parse import quote

import httptools

from ivymux.config import Address

PATIENCE = (
    1.5  # seconds for the whole list: half of the shortest time in which doors must know of a server's end
)
MOST_PAUSE = PATIENCE / 4  # seconds between two asks for a page, however few calls the platform takes
MOST_PAGES = 64
MOST_PAGE = 4 << 20
TOO_MANY = 429


class PlatformError(Exception):
    """The list could not be read; the text names the step and the peer."""

    code = "platform"


class StatusError(PlatformError):
    """The platform answered, and not with a page."""

    def __init__(self, path: str, status: int) -> None:
        super().__init__(f"GET {path}: {status}")
        self.status = status


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
        raise StatusError(path, parser.get_status_code())
    return bytes(answer.body)


class Platform:
    """One connection, kept while it serves.  `rate` calls a second are taken from all doors together: a page that is
    refused for that (429) is asked for again after the time that one call takes of it, doubled each time."""

    def __init__(
        self, address: Address, rate: float, pause: Callable[[float], Awaitable[None]] = asyncio.sleep
    ) -> None:
        self.address, self.rate, self.pause = address, rate, pause
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def pages(self) -> list[bytes]:
        """Every page of the list; raises PlatformError."""
        try:
            async with asyncio.timeout(PATIENCE):
                return await self.walk()
        except (OSError, TimeoutError, PlatformError) as error:
            self.close()
            text = str(error) or type(error).__name__
            raise PlatformError(f"list of servers, {self.address.host}: {text}") from None

    async def walk(self) -> list[bytes]:
        found: list[bytes] = []
        path, waited, refused = "/instances", 0.0, 0
        while len(found) < MOST_PAGES:
            try:
                found.append(await self.page(path))
                refused = 0
            except StatusError as error:
                if error.status != TOO_MANY or waited >= PATIENCE:
                    raise
                pause = min(self.wait(refused), PATIENCE - waited)
                waited, refused = waited + pause, refused + 1
                await self.pause(pause)
                continue
            try:
                token = json.loads(found[-1]).get("nextToken")
            except (ValueError, AttributeError):
                raise PlatformError(f"GET {path}: not JSON") from None
            if not token:
                return found
            path = f"/instances?pageToken={quote(str(token))}"
        raise PlatformError("more pages than there can be")

    def wait(self, refused: int) -> float:
        """Seconds until a page is asked for again; spread, as doors that were refused together must not come so."""
        return min(MOST_PAUSE, (1 << refused) / self.rate) * (0.5 + random.random())

    async def page(self, path: str) -> bytes:
        """One page; on a new connection where the kept one brought no answer, as it may have been closed meanwhile."""
        if self.streams is not None:
            try:
                return await call(*self.streams, self.address.host, path)
            except StatusError:
                raise
            except (OSError, PlatformError):
                self.close()
        self.streams = await asyncio.open_connection(self.address.host, self.address.port)
        return await call(*self.streams, self.address.host, path)

    def close(self) -> None:
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None
