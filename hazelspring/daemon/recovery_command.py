"""hazelspringd recover: a new core by hand from a stopped door's disk, after more was lost than the core bears."""

from __future__ import annotations

import argparse
import secrets
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import cbor2

from hazelspring.consensus.acceptor import Acceptor, load_acceptor
from hazelspring.consensus.control_state import (
    NO_CONFIGURATION,
    VERSIONS_PER_LINEAGE,
    Ballot,
    ControlState,
    Member,
    lineage,
)
from hazelspring.consensus.disaster_recovery import (
    ZONE_KEY_PREFIX,
    RecoverySource,
    UnrecoverableError,
    ensure_usable,
    newest_items,
    recovered_acceptor,
    source_from_acceptor,
    source_from_items,
)
from hazelspring.daemon.settings import SettingsError
from hazelspring.daemon.settings import load_settings as load_settings
from hazelspring.storage.offline import StoreContents, inspect_store, replace_contents
from hazelspring.storage.replica_store import StoreError

FILE, ASIDE = "comb.sqlite", "comb.sqlite.aside"
USAGE = 2
HELP = """Exit status 0: listed, or the disk now holds the new core; 1: refused, and nothing is changed (the file is in
use, damaged, or holds nothing that was agreed on); 2: a word of the command or the settings file is wrong."""


def add(call: argparse.ArgumentParser) -> None:
    call.epilog = HELP
    call.add_argument("--list", action="store_true", help="say what the disk holds, and write nothing")
    call.add_argument("--data", help="the folder of the disk, where it is not the one of the settings file")
    call.add_argument("--from", action="append", dest="files", metavar="FILE", default=[],
                      help="go on from this store file; may stand more than once, of format 1")  # fmt: skip
    call.add_argument("--take", choices=("accepted", "decided"), default="accepted",
                      help="what to go on from where a state was accepted and is not known to be decided")  # fmt: skip
    call.add_argument("--size", type=int, default=0, help="doors with a disk that the core is meant to have")
    call.add_argument("--old-core-is-stopped", action="store_true", dest="stopped",
                      help="no majority of the old core runs, or will, out of reach of this door")  # fmt: skip


def run(chosen: argparse.Namespace) -> int:
    """Carry out the call; the exit status, see HELP."""
    try:
        settings = load_settings(chosen.settings) if chosen.settings else None
        folder = chosen.data or (settings.data_directory if settings is not None else "")
        files = [Path(file) for file in chosen.files]
        if not folder and not (chosen.list and files):
            return refuse("settings: no disk is named: use --settings or --data", USAGE)
        if chosen.list:
            there = files or [Path(folder) / name for name in (FILE, ASIDE)]
            return show([path for path in there if files or path.exists()] or there[:1])
        if settings is None:
            return refuse("settings: a rescue wants the door's settings file", USAGE)
        if not chosen.stopped:
            return refuse("say --old-core-is-stopped once it is so: two cores would serve and decide", USAGE)
        target = Path(folder) / FILE
        found = [inspect_store(path) for path in files or [target]]
        source, marks = chosen_source(found, chosen.take == "accepted")
        if not (chosen.size or source.state.target_size):
            return refuse("size: format 1 does not tell it: use --size", USAGE)
        ensure_usable(source)
        now = (int(time.time() * 1000) << 8) + secrets.randbits(8)
        member = Member(settings.ip, settings.zone, settings.region, now)
        register = recovered_acceptor(source, member, chosen.size, now)
        records = {name: body for name, body in register.take_dirty_records().items() if body is not None}
        kept = Path(f"{target}.before-{now}")
        replace_contents(target, marks | records, kept)
    except SettingsError as error:
        return refuse(f"{error.code}: {error}", USAGE)
    except (StoreError, UnrecoverableError) as error:
        return refuse(f"{error.code}: {error}", 1)
    assert register.decided is not None
    print(f"{target}: holds a new core; what it held is in {kept}")
    print(f"  {told(*register.decided)}")
    return 0


def refuse(text: str, status: int) -> int:
    print(f"hazelspringd: {text}", file=sys.stderr)
    return status


def chosen_source(found: list[StoreContents], accepted: bool) -> tuple[RecoverySource, dict[str, bytes]]:
    """What to go on from, and the marks to keep; raises Unfit."""
    wrong = [name for one in found for name in one.corrupt]
    if wrong:
        raise UnrecoverableError(f"the sum of {', '.join(wrong)} is wrong")
    if {one.format for one in found} == {1}:
        nodes = max(int(one.marks.get("doors", b"0")) for one in found)
        return source_from_items(newest_items(one.items for one in found)), {
            "mark doors": str(nodes).encode()
        }
    if len(found) > 1:
        raise UnrecoverableError("only files of format 1 can be put together: name one")
    marks = {name: body for name, body in found[0].records.items() if name.startswith("mark ")}
    return source_from_acceptor(register_of(found[0]), accepted), marks


def register_of(found: StoreContents) -> Acceptor:
    """Raises Unfit where the records tell none."""
    if "disk" not in found.records:
        raise UnrecoverableError("nothing was ever kept here")
    try:
        return load_acceptor(found.records, 0, False)
    except (ValueError, TypeError, cbor2.CBORDecodeError) as error:
        raise UnrecoverableError(str(error)) from None


# --- what a disk holds ------------------------------------------------------------------------------------------------


def show(paths: list[Path]) -> int:
    """Say what files hold, a part a line; 1 where one of them cannot be read."""
    bad = 0
    for path in paths:
        try:
            found = inspect_store(path)
            lines = list(items_told(found) if found.format == 1 else register_told(register_of(found)))
        except (StoreError, UnrecoverableError) as error:
            bad = refuse(f"{error.code}: {path}: {error}", 1)
            continue
        sums = "good" if not found.corrupt else f"WRONG of {', '.join(found.corrupt)}"
        print(f"{path}: format {found.format}, sums {sums}")
        for line in lines:
            print(f"  {line}")
        bad |= bool(found.corrupt)
    return bad


def register_told(register: Acceptor) -> Iterator[str]:
    count, _, proposer = register.promised
    yield f"disk      {register.disk_id}  promised up to ballot {count} of {proposer or 'none'}"
    yield f"decided   {told(*register.decided)}" if register.decided is not None else "decided   nothing"
    if register.accepted is not None and register.pending is not None:
        yield f"accepted  {told(*register.accepted)}, which may have been acknowledged"


def told(ballot: Ballot, state: ControlState) -> str:
    word = (
        f"r{state.configuration_version} {state.configuration_digest.hex()}"
        if state.configuration_digest != NO_CONFIGURATION
        else "no configuration"
    )
    members = " ".join(f"{member.ip}/{member.disk_id}" for member in state.members)
    return (
        f"lineage {lineage(state.version)} version {state.version % VERSIONS_PER_LINEAGE} ballot {ballot[0]}  {word}"
        f"  closed {','.join(sorted(state.evacuated_zones)) or 'none'}  core of {state.target_size}: {members}"
    )


def items_told(found: StoreContents) -> Iterator[str]:
    for key, ((number, tie), body) in found.items.items():
        if key.startswith(ZONE_KEY_PREFIX):
            yield f"{key} {'closed' if body == b'1' else 'open'}  stamp {number} {tie.hex()}"
        else:
            yield f"r{number} {tie.hex()}"
