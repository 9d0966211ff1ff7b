"""Client of the platform's instance list: reads all pages over one open connection, within a time limit."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from urllib.parse import quote

import httptools

from hazelspring.errors import HazelspringError
from hazelspring.gateway.config import Address

# The longest pause between two attempts of a page, at any rate, as a part of the time-out of a read.
PAUSE_PART = 0.25
MAX_PAGES = 64  # pages of one list
MAX_PAGE_BYTES = 4 << 20
READ_SIZE = 1 << 16  # bytes per read from the connection
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
        """Record that the response is complete."""
        self.complete = True


async def http_get(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, host: str, path: str) -> bytes:
    """Return the body of `GET path`.  Raises StatusError, InstanceListError or OSError."""
    writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
    body = ResponseBody()
    parser = httptools.HttpResponseParser(body)
    while not body.complete:
        data = await reader.read(READ_SIZE)
        if not data or len(body.data) > MAX_PAGE_BYTES:
            raise InstanceListError(f"GET {path}: the response was cut short or is too large")
        try:
            parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise InstanceListError(f"GET {path}: {error}") from None
    if parser.get_status_code() != HTTP_OK:
        raise StatusError(path, parser.get_status_code())
    return bytes(body.data)


def next_token(path: str, page: bytes) -> object:
    """Return the token of the next page, a false value after the last; raises InstanceListError."""
    try:
        return json.loads(page).get("nextToken")
    except (ValueError, AttributeError):
        raise InstanceListError(f"GET {path}: the page is not a JSON object") from None


class InstanceListClient:
    """Reads the list over one connection that stays open between reads.

    The platform accepts `rate` calls a second from all nodes together.  A page refused with status 429 is
    requested again after 1 / `rate` seconds, doubled with each further refusal.  A read of all pages must
    finish within `timeout` seconds.
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
                return await self._read_all_pages()
        except Exception as error:
            self.close()  # the read has failed, whatever the transport or the parser raised
            text = str(error) or type(error).__name__
            raise InstanceListError(f"instance list of {self.address.host}: {text}") from error

    async def _read_all_pages(self) -> list[bytes]:
        """Return all pages, from the first to the one without a next token."""
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
        raise InstanceListError(f"the list has more than {MAX_PAGES} pages")

    def _backoff(self, refusals: int) -> float:
        """Return the seconds until a refused page is requested again.

        They are jittered, so that nodes refused at the same time do not all retry at the same time.
        """
        return min(PAUSE_PART * self.timeout, (1 << refusals) / self.rate) * (0.5 + random.random())

    async def _page(self, path: str) -> bytes:
        """Return one page.

        It is requested again on a new connection where the open one gave no response, because the platform
        may have closed that one since the last read.
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
        """Close the connection, if one is open."""
        streams, self.streams = self.streams, None
        if streams is not None:
            streams[1].transport.abort()
