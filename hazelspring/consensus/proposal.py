"""Proposals of changes to the control state, and how they end."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from hazelspring.consensus.control_state import NO_CONFIGURATION, ControlState, Member


class ProposalKind(StrEnum):
    """The kinds of proposals.

    The values of ``PUT_CONFIGURATION`` and ``SET_EVACUATION`` are sent on the wire, as these two may be
    forwarded.  The values of ``RESOLVE`` and ``BOOTSTRAP`` are earlier names of these kinds: to settle an
    undecided state, and to found a core.
    """

    PUT_CONFIGURATION = "put"  # put an operator's configuration in force
    SET_EVACUATION = "evacuate"  # evacuate a zone, or end its evacuation
    READ = "read"  # read the configuration in force; changes nothing
    JOIN = "join"  # make a node with a disk a member of the core
    RETIRE = "retire"  # remove a member from the core
    RESOLVE = "settle"  # complete an accepted state that may have been decided; changes nothing itself
    BOOTSTRAP = "found"  # choose the first members of the core


MEMBERSHIP_KINDS = (ProposalKind.JOIN, ProposalKind.RETIRE, ProposalKind.BOOTSTRAP)


@dataclass(slots=True)
class Proposal:
    """One change to the control state, or one read of it, that an operator or this node requests.

    It may be acknowledged once the decided state shows its effect, and this effect is known to have been in
    force after the proposal was submitted: either a configuration of this version was decided since then, or
    the state was confirmed to be the newest at some time after the submission.

    Attributes
    ----------
    token
        Identifies the caller that waits for the outcome; 0 if nobody does.
    started_at
        When the proposal was submitted, in seconds of the node's clock.
    kind
        What is requested; it determines which of the following fields are used.
    configuration_version, configuration_digest, configuration
        ``PUT_CONFIGURATION``: the operator's version number, the digest of the body, and the compressed body.
    zone, evacuate
        ``SET_EVACUATION``: the zone, and whether it is to be evacuated or reopened.
    member
        ``JOIN``, ``RETIRE``: the member that joins or leaves.
    grows_core
        ``JOIN``: the core's target size grows by one, unless the node's address is that of a member already.
    by_operator
        ``RETIRE``: an operator removes the member permanently, and the core's target size becomes at most
        the number of members left.  Such a removal identifies the member by its address alone.
    base_version
        Version of the decided state that this node knew when the proposal was submitted.
    bound_version
        The only version to which the proposal may be applied; None if it may be applied to any.  An order
        that a later one can undo is bound while its caller waits (:meth:`needs_binding`), so that it is not
        carried out once a later order is in force.
    confirmed_version
        The version of the state known here that was the newest decided one at some time after the proposal
        was submitted, when that was first known; None as long as it is not.
    """

    token: int
    started_at: float
    kind: ProposalKind
    configuration_version: int = -1
    configuration_digest: bytes = NO_CONFIGURATION
    configuration: bytes | None = None
    zone: str = ""
    evacuate: bool = False
    member: Member | None = None
    grows_core: bool = False
    by_operator: bool = False
    base_version: int = -1
    bound_version: int | None = None
    confirmed_version: int | None = None

    def needs_binding(self) -> bool:
        """Return whether the proposal may be applied only to a version that was known while its caller waited.

        This holds for operators' orders that another order can undo.  A configuration needs no binding, as
        only a higher number replaces it.
        """
        return self.kind == ProposalKind.SET_EVACUATION or self.by_operator

    def needs_new_version(self) -> bool:
        """Return whether the proposal is confirmed only by a version above the one that was in force before it.

        An evacuation, or its end, that is in force already makes a new version as well: earlier orders for
        the zone, which may still be under way, are bound to the version before and so are overtaken.
        """
        return self.kind == ProposalKind.SET_EVACUATION

    def may_be_applied_to(self, state: ControlState) -> bool:
        """Return whether the proposal is not bound to another version than that of a state."""
        return self.bound_version in (None, state.version)

    def is_overtaken_at(self, state: ControlState) -> bool:
        """Return whether the proposal can be applied neither to a state nor to any later one."""
        return self.bound_version is not None and self.bound_version < state.version

    def apply(self, state: ControlState) -> ControlState:
        """Return `state` with this proposal applied; `state` itself if nothing is to change.

        The proposer sets the version and the previous members, as one round may carry out several proposals.
        """
        if state.version == 0:
            return state  # nothing can be decided before the first members have been chosen
        match self.kind:
            case ProposalKind.PUT_CONFIGURATION:
                return self._apply_configuration(state)
            case ProposalKind.SET_EVACUATION:
                return self._apply_evacuation(state)
            case ProposalKind.JOIN:
                return self._apply_join(state)
            case ProposalKind.RETIRE if self.by_operator:
                return self._apply_removal_by_operator(state)
            case ProposalKind.RETIRE:
                return self._apply_retirement(state)
            case _:
                return state

    def _apply_configuration(self, state: ControlState) -> ControlState:
        if self.configuration_version <= state.configuration_version:
            return state
        return replace(
            state,
            configuration_version=self.configuration_version,
            configuration_digest=self.configuration_digest,
        )

    def _apply_evacuation(self, state: ControlState) -> ControlState:
        if (self.zone in state.evacuated_zones) is self.evacuate:
            return state
        return replace(state, evacuated_zones=state.evacuated_zones ^ {self.zone})

    def _apply_join(self, state: ControlState) -> ControlState:
        """Add the member in place of other disks at its address and of the bootstrap's members (disk 0)."""
        if self.member is None or self.member in state.members:
            return state
        others = [member for member in state.members if member.ip != self.member.ip and member.disk_id]
        size = state.target_size + (self.grows_core and state.member_at(self.member.ip) is None)
        return replace(state, members=tuple(sorted([*others, self.member])), target_size=size)

    def _apply_removal_by_operator(self, state: ControlState) -> ControlState:
        """Remove the member at an address, but never the last; limit the target size to the members left."""
        left = tuple(member for member in state.members if self.member is None or member.ip != self.member.ip)
        if not left or left == state.members:
            return state
        return replace(state, members=left, target_size=min(state.target_size, len(left)))

    def _apply_retirement(self, state: ControlState) -> ControlState:
        """Remove a member that is lost, as long as the core is larger than its target size."""
        if self.member not in state.members or len(state.members) <= state.target_size:
            return state
        return replace(state, members=tuple(member for member in state.members if member != self.member))

    def conflicts_with(self, state: ControlState) -> bool:
        """Return whether another configuration was decided under the version number of this proposal."""
        return (
            self.kind == ProposalKind.PUT_CONFIGURATION
            and self.configuration_version == state.configuration_version
            and self.configuration_digest != state.configuration_digest
        )

    def changes_members(self) -> bool:
        """Return whether this kind of proposal changes the members of the core."""
        return self.kind in MEMBERSHIP_KINDS


@dataclass(slots=True)
class BootstrapProposal(Proposal):
    """Proposes the first members of the core; the proposer whose bootstrap round succeeds chooses them.

    Attributes
    ----------
    members
        All nodes with a disk that the proposer knows; their number becomes the core's target size.
    """

    members: tuple[Member, ...] = ()

    def apply(self, state: ControlState) -> ControlState:
        """Return the state with the first members; `state` itself once the core has members."""
        if state.version != 0:
            return state
        return replace(state, members=self.members, target_size=len(self.members))


@dataclass(slots=True, frozen=True)
class ProposalOutcome:
    """The result of a proposal that has ended.

    Attributes
    ----------
    token
        The proposal's token.
    succeeded
        Whether the proposal may be acknowledged.  If it did not succeed and `conflict` is false, it may
        have been carried out, or be carried out by a round that is under way.
    reason
        Why it did not succeed, for the operator.
    conflict
        Whether another configuration is in force under the proposal's version number.
    state
        The decided state that settled the proposal; None if the proposal timed out.
    configuration
        The compressed configuration; only after a successful read of one.
    """

    token: int
    succeeded: bool
    reason: str = ""
    conflict: bool = False
    state: ControlState | None = None
    configuration: bytes | None = None
