"""The log lines that a node writes about leaving servers."""

from __future__ import annotations

import random

import eliot
import pytest

from hazelspring.daemon.table_log import MAX_LOGGED_SERVERS, log_leaving
from hazelspring.registry.tables import ServerEntry
from hazelspring.routing.endpoint_set import EndpointSet


def entries(count: int, leaving: range) -> list[ServerEntry]:
    return [ServerEntry(f"i-{n}", f"s:{n}", "z", n not in leaving, 2, "v1") for n in range(count)]


@pytest.mark.parametrize(
    ("leaving", "ids", "ago"),
    [
        (range(0), None, 0.0),
        (range(2, 3), "i-2", 8.0),
        (range(8), "i-7,i-6,i-5,i-4,i-3", 3.0),  # the latest `MAX_LOGGED_SERVERS`, most recent request first
    ],
)
def test_leaving_servers_are_logged_once_with_the_time_since_their_last_request(
    leaving: range, ids: str | None, ago: float
) -> None:
    servers, lines = EndpointSet("z", "west", {"z": "west"}, random.Random(1)), list[dict[str, object]]()
    servers.update_endpoints(0.0, "shop", entries(8, range(0)), 0.0)
    for n in range(8):
        servers.services["shop"][f"i-{n}"].sent_at = float(n)
    listed = entries(8, leaving)
    eliot.add_destinations(lines.append)
    try:
        for _ in range(2):  # in the second round they have left already
            log_leaving(10.0, servers.newly_draining("shop", listed), 0.25)
            servers.update_endpoints(10.0, "shop", listed, 0.0)
    finally:
        eliot.remove_destination(lines.append)
    found = [(line["servers"], line["count"], line["last_request_ago"], line["list_age"]) for line in lines]
    assert found == ([(ids, len(leaving), ago, 0.25)] if ids is not None else [])
    assert len(str(ids).split(",")) <= MAX_LOGGED_SERVERS
