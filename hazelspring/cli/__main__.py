"""The operator's command line: python3 -m hazelspring.cli --node HOST:PORT CALL."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from hazelspring.cli.control_client import Answer, CallError, call_once, call_until_settled


def make_parser() -> argparse.ArgumentParser:
    made = argparse.ArgumentParser(prog="hazelspringctl", description="Orders to hazelspring's doors.")
    made.add_argument(
        "--node", "--door", action="append", dest="nodes", metavar="HOST:PORT",
        help="a node's control address; may stand more than once, and is else read from HAZELSPRING_NODES (commas)",
    )  # fmt: skip
    made.add_argument("--patience", type=float, default=20.0, help="seconds until an order is given up (20)")
    calls = made.add_subparsers(dest="call", required=True)
    put = calls.add_parser("put", help="send a configuration; `-` reads standard input")
    put.add_argument("file")
    get = calls.add_parser("get", help="read the newest configuration back")
    get.add_argument("--out", help="write it to a file, whole or not at all")
    for name, text in (
        ("evacuate", "send nothing to a zone's servers"),
        ("return", "take an evacuation back"),
    ):
        calls.add_parser(name, help=text).add_argument("zone")
    retire = calls.add_parser("retire", help="take a core door out for good that does not come back")
    retire.add_argument("address", help="its address, as status names it")
    calls.add_parser("status", help="what each door says of itself")
    calls.add_parser("check", help="say whether a configuration would be taken").add_argument("file")
    return made


def read_input(path: str) -> bytes:
    return sys.stdin.buffer.read() if path == "-" else Path(path).read_bytes()


def print_statuses(nodes: Sequence[str]) -> int:
    """One line a door; the exit status tells whether all are ready."""
    bad = 0
    for node in nodes:
        try:
            said = json.loads(call_once(node, "GET", "/-/status", None, 1.0).body)
        except (OSError, ValueError) as error:
            print(f"{node}  does not answer: {error}")
            bad = 1
            continue
        core = sum(said["core"].values())
        away = [address for address, answers in said["core"].items() if not answers]
        print(
            f"{node}  {said['name']}  {'ready' if said['ready'] else 'NOT READY'}"
            f"  configuration {said['configuration']}  core {core}/{len(said['core'])}"
            f"{' without ' + ','.join(away) if away else ''}"
            f"  doors {len(said['doors'])}  closed {','.join(said['closedZones']) or 'none'}"
            f"  servers {sum(said['servers'].values())}  fresh for {said['freshForS']} s"
        )
        bad |= not said["ready"]
    return bad


def replace_file(path: str, body: bytes) -> None:
    """A file is there whole or as it was."""
    part = Path(f"{path}.part")
    part.write_bytes(body)
    part.replace(path)


def main(arguments: Sequence[str] | None = None) -> int:
    chosen = make_parser().parse_args(arguments)
    named = os.environ.get("HAZELSPRING_NODES") or os.environ.get("HAZELSPRING_DOORS", "")  # the name before
    nodes = chosen.nodes or [address for address in named.split(",") if address]
    try:
        if chosen.call == "check":
            from hazelspring.configuration.validation import InvalidConfigurationError, validate_configuration

            try:
                print(f"{chosen.file}: would be taken as r{validate_configuration(read_input(chosen.file))}")
            except InvalidConfigurationError as error:
                print(f"{chosen.file}: {error}", file=sys.stderr)
                return 1
            return 0
        if not nodes:
            print("hazelspringctl: no node: use --node HOST:PORT, or HAZELSPRING_NODES", file=sys.stderr)
            return 2
        answer: Answer
        match chosen.call:
            case "status":
                return print_statuses(nodes)
            case "put":
                answer = call_until_settled(
                    nodes, "PUT", "/-/configuration", read_input(chosen.file), chosen.patience
                )
            case "get":
                answer = call_until_settled(nodes, "GET", "/-/configuration", None, chosen.patience)
                if chosen.out:
                    replace_file(chosen.out, answer.body)
                else:
                    print(answer.body.decode())
                return 0
            case "retire":
                answer = call_until_settled(
                    nodes, "DELETE", f"/-/core/{chosen.address}", None, chosen.patience
                )
            case "evacuate" | "return":
                method = "POST" if chosen.call == "evacuate" else "DELETE"
                answer = call_until_settled(
                    nodes, method, f"/-/evacuation/{chosen.zone}", None, chosen.patience
                )
        print(f"acknowledged by {answer.address}")
        return 0
    except CallError as error:
        print(f"hazelspringctl: {error.code}: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"hazelspringctl: {error}", file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
