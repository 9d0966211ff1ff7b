"""`hazelspringd recover`: makes a new core from a stopped node's disk after the loss of a majority."""

from __future__ import annotations

import argparse
import secrets
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass
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
from hazelspring.daemon.settings import Settings, SettingsError, load_settings
from hazelspring.errors import HazelspringError
from hazelspring.storage.offline import StoreContents, inspect_store, replace_contents
from hazelspring.storage.replica_store import StoreError

STORE_FILE = "comb.sqlite"
ASIDE_FILE = "comb.sqlite.aside"  # a store that was moved aside
OLD_FORMAT = 1  # items and marks, from before nodes agreed on states by consensus
NODE_COUNT_MARK = "doors"  # in a store of the old format
NODE_COUNT_RECORD = "mark doors"
MARK_PREFIX = "mark "
DISK_RECORD = "disk"
ID_RANDOM_BITS = 8  # random bits below the time, in the id of the new disk
SUCCESS = 0
REFUSED = 1  # nothing is changed
USAGE = 2  # an option or the settings file is wrong
HELP = """Exit status 0: listed, or the disk now holds the new core; 1: refused, and nothing is changed (the
file is in use, damaged, or holds no decided state); 2: an option or the settings file is wrong."""


def add_arguments(call: argparse.ArgumentParser) -> None:
    """Add the command's options to its parser."""
    call.epilog = HELP
    call.add_argument("--list", action="store_true", help="print what the disk holds, and write nothing")
    call.add_argument("--data", help="the disk's folder, if it is not the one in the settings file")
    call.add_argument("--from", action="append", dest="files", metavar="FILE", default=[],
                      help="continue from this store file; may be repeated for format 1")  # fmt: skip
    call.add_argument("--take", choices=("accepted", "decided"), default="accepted",
                      help="state to continue from: the last accepted one, even if it is not known to be "
                           "decided, or the last decided one")  # fmt: skip
    call.add_argument("--size", type=int, default=0, help="nodes with a disk that the core is to have")
    call.add_argument("--old-core-is-stopped", action="store_true", dest="stopped",
                      help="confirm that no majority of the old core's nodes is running or will be started "
                           "again, not even out of this node's reach")  # fmt: skip


class UsageError(HazelspringError):
    """An option or the settings file is missing from the command line; nothing was done."""

    code = "usage"


@dataclass(slots=True, frozen=True)
class RecoveryInput:
    """The state to continue from, and the marks that are copied from the old store to the new one."""

    source: RecoverySource
    marks: dict[str, bytes]


def run(options: argparse.Namespace) -> int:
    """Carry out the command; return its exit status, see HELP."""
    try:
        settings = load_settings(options.settings) if options.settings else None
        folder = options.data or (settings.data_directory if settings is not None else "")
        files = [Path(file) for file in options.files]
        if not folder and not (options.list and files):
            raise UsageError("settings: no disk given: use --settings or --data")
        if options.list:
            return print_contents(files or stores_in(Path(folder)))
        return recover(options, settings, Path(folder), files)
    except UsageError as error:
        return print_error(str(error), USAGE)
    except SettingsError as error:
        return print_error(f"{error.code}: {error}", USAGE)
    except (StoreError, UnrecoverableError) as error:
        return print_error(f"{error.code}: {error}", REFUSED)


def recover(options: argparse.Namespace, settings: Settings | None, folder: Path, files: list[Path]) -> int:
    """Replace the store in a folder by the store of a new core, and keep a backup of the old one.

    Raises UsageError, StoreError or UnrecoverableError, and then changes nothing.
    """
    if settings is None:
        raise UsageError("settings: a recovery needs the node's settings file: use --settings")
    if not options.stopped:
        raise UsageError(
            "stop the old core, then use --old-core-is-stopped: otherwise two cores would serve and decide"
        )
    target = folder / STORE_FILE
    stores = [inspect_store(path) for path in files or [target]]
    chosen = recovery_input(stores, options.take == "accepted")
    if not (options.size or chosen.source.state.target_size):
        raise UsageError("size: format 1 does not record the size of the core: use --size")
    ensure_usable(chosen.source)
    disk_id = (int(time.time() * 1000) << ID_RANDOM_BITS) + secrets.randbits(ID_RANDOM_BITS)
    member = Member(settings.ip, settings.zone, settings.region, disk_id)
    acceptor = recovered_acceptor(chosen.source, member, options.size, disk_id)
    records = {name: body for name, body in acceptor.take_dirty_records().items() if body is not None}
    backup = Path(f"{target}.before-{disk_id}")
    replace_contents(target, chosen.marks | records, backup)
    print(f"{target}: holds a new core; the previous contents are in {backup}")
    if acceptor.decided is not None:
        print(f"  {describe_state(*acceptor.decided)}")
    return SUCCESS


def print_error(text: str, status: int) -> int:
    """Print to standard error why the command ends, and return `status`."""
    print(f"hazelspringd: {text}", file=sys.stderr)
    return status


def stores_in(folder: Path) -> list[Path]:
    """Return the paths of a folder's store files; if it has none, the path that its store would have."""
    paths = [folder / STORE_FILE, folder / ASIDE_FILE]
    return [path for path in paths if path.exists()] or paths[:1]


def recovery_input(stores: list[StoreContents], accepted: bool) -> RecoveryInput:
    """Return the state and the marks to continue from; raises UnrecoverableError.

    With `accepted`, a state that was accepted and may have been decided is preferred to the one known to be
    decided.
    """
    corrupt = [name for store in stores for name in store.corrupt]
    if corrupt:
        raise UnrecoverableError(f"the checksum of {', '.join(corrupt)} is wrong")
    if {store.format for store in stores} == {OLD_FORMAT}:
        node_count = max(int(store.marks.get(NODE_COUNT_MARK, b"0")) for store in stores)
        source = source_from_items(newest_items(store.items for store in stores))
        return RecoveryInput(source, {NODE_COUNT_RECORD: str(node_count).encode()})
    if len(stores) > 1:
        raise UnrecoverableError("only files of format 1 can be combined: give a single file")
    records = stores[0].records
    marks = {name: body for name, body in records.items() if name.startswith(MARK_PREFIX)}
    return RecoveryInput(source_from_acceptor(stored_acceptor(stores[0]), accepted), marks)


def stored_acceptor(store: StoreContents) -> Acceptor:
    """Return the acceptor that a store holds; raises UnrecoverableError if its records hold none."""
    if DISK_RECORD not in store.records:
        raise UnrecoverableError("no node has ever stored its state here")
    try:
        return load_acceptor(store.records, 0, False)
    except (ValueError, TypeError, cbor2.CBORDecodeError) as error:
        raise UnrecoverableError(str(error)) from None


def print_contents(paths: list[Path]) -> int:
    """Print the stores' contents, a line for each part; return REFUSED if one is unreadable or damaged."""
    status = SUCCESS
    for path in paths:
        try:
            store = inspect_store(path)
            lines = list(describe_store(store))
        except (StoreError, UnrecoverableError) as error:
            status = print_error(f"{error.code}: {path}: {error}", REFUSED)
            continue
        sums = "good" if not store.corrupt else f"WRONG of {', '.join(store.corrupt)}"
        print(f"{path}: format {store.format}, sums {sums}")
        for line in lines:
            print(f"  {line}")
        if store.corrupt:
            status = REFUSED
    return status


def describe_store(store: StoreContents) -> Iterator[str]:
    """Return the lines that describe a store; raises UnrecoverableError if its records are invalid."""
    if store.format == OLD_FORMAT:
        return describe_items(store)
    return describe_acceptor(stored_acceptor(store))


def describe_acceptor(acceptor: Acceptor) -> Iterator[str]:
    """Yield lines on an acceptor's promise, its decided state, and the state that it has accepted since."""
    count, _, proposer = acceptor.promised
    yield f"disk      {acceptor.disk_id}  promised up to ballot {count} of {proposer or 'none'}"
    if acceptor.decided is not None:
        yield f"decided   {describe_state(*acceptor.decided)}"
    else:
        yield "decided   nothing"
    if acceptor.accepted is not None and acceptor.pending is not None:
        yield f"accepted  {describe_state(*acceptor.accepted)}, which may have been acknowledged"


def describe_state(ballot: Ballot, state: ControlState) -> str:
    """Return one line on a state and the ballot under which it was proposed."""
    if state.configuration_digest != NO_CONFIGURATION:
        configuration = f"r{state.configuration_version} {state.configuration_digest.hex()}"
    else:
        configuration = "no configuration"
    version = state.version % VERSIONS_PER_LINEAGE
    closed = ",".join(sorted(state.evacuated_zones)) or "none"
    members = " ".join(f"{member.ip}/{member.disk_id}" for member in state.members)
    return (
        f"lineage {lineage(state.version)} version {version} ballot {ballot[0]}  {configuration}"
        f"  closed {closed}  core of {state.target_size}: {members}"
    )


def describe_items(store: StoreContents) -> Iterator[str]:
    """Yield a line for each item of a store of the old format."""
    for key, ((number, tie), body) in store.items.items():
        if key.startswith(ZONE_KEY_PREFIX):
            yield f"{key} {'closed' if body == b'1' else 'open'}  stamp {number} {tie.hex()}"
        else:
            yield f"r{number} {tie.hex()}"
