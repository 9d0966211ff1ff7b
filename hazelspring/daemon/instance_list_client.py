"""Client of the platform's instance list: reads all pages over one kept connection, within a time limit."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from urllib.parse import quote

import httptools

from hazelspring.errors import HazelspringError
from hazelspring.gateway.config import Address

PAUSE_PART = 0.25  # of the time for a read: the longest pause between two tries of a page, whatever the rate
MAX_PAGES = 64  # of one list
MAX_PAGE_BYTES = 4 << 20
READ_SIZE = 1 << 16  # bytes read at once
FIRST_PATH = "/instances"
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429


class InstanceListError(HazelspringError):
    """The list could not be read; the message names the step and the peer."""

    code = "platform"


class StatusError(InstanceListError):
    """The platform answered with a status other than 200."""

    def __init__(self, path: str, status: int) -> None:
        super().__init__(f"GET {path}: {status}")
        self.status = status


class ResponseBody:
    """Collects the body of one response; the callbacks are httptools'."""

    def __init__(self) -> None:
        self.data = bytearray()
        self.complete = False

    def on_body(self, data: bytes) -> None:
        """Collect a part of the body."""
        self.data += data

    def on_message_complete(self) -> None:
        """Note that the response is whole."""
        self.complete = True


async def http_get(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, path: str) -> bytes:
    """Return the body of `GET path`.  Raises StatusError, InstanceListError or OSError."""
    writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
    body = ResponseBody()
    parser = httptools.HttpResponseParser(body)
    while not body.complete:
        data = await reader.read(READ_SIZE)
        if not data or len(body.data) > MAX_PAGE_BYTES:
            raise InstanceListError(f"GET {path}: the answer broke off")
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise InstanceListError(f"GET {path}: {error}") from None
    if parser.get_status_code() != HTTP_OK:
        raise StatusError(path, parser.get_status_code())
    return bytes(body.data)


def next_token(path: str, page: bytes) -> object:
    """Return what names the page after this one, something false after the last; raises InstanceListError."""
    try:
        return json.loads(page).get("nextToken")
    except (ValueError, AttributeError):
        raise InstanceListError(f"GET {path}: not JSON") from None


class InstanceListClient:
    """Reads the list over one connection that is kept between reads.

    The platform accepts `rate` calls a second from all nodes together: a page refused for that (429) is asked for
    again after the time that one call takes of the rate, doubled with each refusal.  A read of all pages has `timeout`
    seconds.
    """

    def __init__(
        self,
        address: Address,
        rate: float,
        timeout: float,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.address = address
        self.rate = rate
        self.timeout = timeout
        self.pause = pause
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def read_pages(self) -> list[bytes]:
        """Return every page of the list.  Raises InstanceListError."""
        try:
            async with asyncio.timeout(self.timeout):
                return await self._walk()
        except Exception as error:
            self.close()  # whatever a transport or parser raised, the read has failed and its connection goes
            text = str(error) or type(error).__name__
            raise InstanceListError(f"list of servers, {self.address.host}: {text}") from error

    async def _walk(self) -> list[bytes]:
        """Return the pages from the first to the one that names no next."""
        pages: list[bytes] = []
        path, waited, refusals = FIRST_PATH, 0.0, 0
        while len(pages) < MAX_PAGES:
            try:
                page = await self._page(path)
            except StatusError as error:
                if error.status != HTTP_TOO_MANY_REQUESTS or waited >= self.timeout:
                    raise
                pause = min(self._backoff(refusals), self.timeout - waited)
                waited, refusals = waited + pause, refusals + 1
                await self.pause(pause)
                continue
            pages.append(page)
            refusals = 0
            token = next_token(path, page)
            if not token:
                return pages
            path = f"{FIRST_PATH}?pageToken={quote(str(token))}"
        raise InstanceListError("more pages than there can be")

    def _backoff(self, refusals: int) -> float:
        """Return the seconds until a page is asked for again.

        They are jittered, so that nodes refused together do not return together.
        """
        return min(PAUSE_PART * self.timeout, (1 << refusals) / self.rate) * (0.5 + random.random())

    async def _page(self, path: str) -> bytes:
        """Return one page.

        It is asked for on a new connection where the kept one brought no answer, as it may have closed meanwhile.
        """
        if self.streams is not None and not self.streams[1].is_closing():
            try:
                return await http_get(*self.streams, self.address.host, path)
            except StatusError:
                raise
            except (OSError, InstanceListError):
                pass
        self.close()
        self.streams = await asyncio.open_connection(self.address.host, self.address.port)
        return await http_get(*self.streams, self.address.host, path)

    def close(self) -> None:
        """Close the kept connection, if there is one."""
        streams, self.streams = self.streams, None
        if streams is not None:
            streams[1].transport.abort()
