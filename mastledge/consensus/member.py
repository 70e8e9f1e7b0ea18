"""A member of a fleet as a pure step function: state and input to outputs, without I/O or a clock.

Raft as in Ongaro, "Consensus: Bridging Theory and Practice" (2014): terms, votes and a log (3.4 to 3.6), the
pre-vote (9.6), single-server membership changes (4.1), snapshots (5.1). Leases, relays and the startup are
extensions of raft; see docs/consensus.md.
"""

from collections.abc import Callable

from mastledge.consensus import inputs, messages
from mastledge.consensus.acknowledgements import Acknowledgements
from mastledge.consensus.applier import SNAPSHOT_INTERVAL, Applier
from mastledge.consensus.bootstrap import Bootstrap
from mastledge.consensus.clock import MemberClock, RandomDraws
from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.core import Core
from mastledge.consensus.discovery import Discovery
from mastledge.consensus.elections import Elections
from mastledge.consensus.follower import Follower, FollowerParts
from mastledge.consensus.leader import LeaderParts, Leadership
from mastledge.consensus.lease_holder import LeaseHolder
from mastledge.consensus.log import Log
from mastledge.consensus.observed_state import ObservedState
from mastledge.consensus.outbox import Outbox, Persistence
from mastledge.consensus.outputs import Output
from mastledge.consensus.persisted_state import PersistedMember
from mastledge.consensus.proposals import Proposals
from mastledge.consensus.raft_state import RaftState
from mastledge.consensus.relay_children import RelayChildren
from mastledge.consensus.relay_choice import RelayChoice
from mastledge.consensus.restriction_sharing import RestrictionSharing
from mastledge.consensus.role_state import RoleState
from mastledge.consensus.roles import Phase, Role
from mastledge.consensus.state_machine import StateMachine
from mastledge.consensus.timing import LOST_AFTER_HEARTBEATS

Handler = Callable[..., None]


class Member:
    """Composes the parts of a member, dispatches each input to its part, and runs the work that is due.

    The classes of the parts that tests and the lab replace are class attributes.
    """

    state_type = RaftState
    leadership_type = Leadership
    sharing_type = RestrictionSharing
    children_type = RelayChildren
    follower_type = Follower
    snapshot_interval = SNAPSHOT_INTERVAL

    def __init__(self, configuration: MemberConfiguration, persisted: PersistedMember | None, now: int):
        """Initialize from the persisted state, None for an empty disk; `now` is local time in us."""
        self.configuration = configuration
        incarnation = configuration.new_incarnation
        self.clock = MemberClock(incarnation, now)
        self.outbox = Outbox()
        self.persistence = Persistence(self.outbox)
        self.state = self.state_type(
            configuration.name, configuration.lease_us, incarnation, self.persistence
        )
        self.proposals = Proposals()
        self.roles = RoleState(self.clock, self.outbox, self.state, self.proposals)
        self.core = Core(self.clock, self.outbox, self.persistence, self.state, self.roles)
        if persisted is not None:
            self.state.load(persisted)
        self._compose_parts()
        self.input_handlers = self._make_input_handlers()
        self.message_handlers = self._make_message_handlers()

    def _compose_parts(self) -> None:
        core, draws = self.core, RandomDraws(self.configuration.seed, self.configuration.name)
        self.lease, self.observed_state = LeaseHolder(), ObservedState()
        self.restriction_sharing = self.sharing_type(self.state, self.outbox)
        self.applier = Applier(self.state, self.outbox, self.proposals, self.snapshot_interval)
        self.elections = Elections(core, draws, self.observed_state, self._begin_leadership)
        self.discovery = Discovery(core, self.configuration)
        self.bootstrap = Bootstrap(
            core, self.configuration, self.discovery, self.elections, self.observed_state
        )
        self.relay_children = self.children_type(core, self.lease, self.restriction_sharing)
        self.acknowledgements = Acknowledgements(core, self.relay_children, self.restriction_sharing)
        ask_members = self.discovery.ask_members
        self.relay_choice = RelayChoice(
            core, draws, self.acknowledgements, self.restriction_sharing, ask_members
        )
        self.follower = self.follower_type(
            core,
            FollowerParts(
                acknowledgements=self.acknowledgements,
                applier=self.applier,
                bootstrap=self.bootstrap,
                relay_children=self.relay_children,
                relay_choice=self.relay_choice,
                elections=self.elections,
                lease=self.lease,
                observed_state=self.observed_state,
                restriction_sharing=self.restriction_sharing,
            ),
        )

    def _begin_leadership(self) -> None:
        parts = LeaderParts(
            applier=self.applier,
            relay_children=self.relay_children,
            relay_choice=self.relay_choice,
            elections=self.elections,
            lease=self.lease,
            observed_state=self.observed_state,
            restriction_sharing=self.restriction_sharing,
        )
        leadership = self.leadership_type(self.core, parts)
        self.roles.become_leader(leadership)
        leadership.begin(self.proposals.pending)

    # Step

    def step(self, now: int, input: inputs.Input) -> list[Output]:
        """Process one input at local time `now` and return the outputs in order."""
        self.clock.now = now
        self.input_handlers[type(input)](input)
        self._run_due_work()
        self.persistence.finish_step(self.state.log.last_index)
        return self.outbox.take()

    def _make_input_handlers(self) -> dict[type, Handler]:
        return {
            inputs.Tick: self._on_tick,
            inputs.MessageReceived: self._on_message_received,
            inputs.Persisted: self._on_persisted,
            inputs.DiskFailed: self._on_disk_failed,
            inputs.EndpointListUpdate: self._on_endpoint_list_update,
            inputs.ShareRestrictions: self._on_share_restrictions,
            inputs.Propose: self._on_proposal,
            inputs.ForgetProposal: self._on_forget_proposal,
            inputs.Restore: self._on_restore,
            inputs.Abandon: self._on_abandon,
            inputs.Leave: self._on_leave,
        }

    def _make_message_handlers(self) -> dict[type, Handler]:
        return {
            messages.DiscoverRequest: self.bootstrap.on_discover_request,
            messages.DiscoverResponse: self.bootstrap.on_discover_response,
            messages.BootstrapCluster: self.bootstrap.on_bootstrap_cluster,
            messages.VoteRequest: self.elections.on_vote_request,
            messages.VoteResponse: self.elections.on_vote_response,
            messages.TimeoutNow: self.elections.on_timeout_now,
            messages.AppendEntries: self.follower.on_append_entries,
            messages.InstallSnapshot: self.follower.on_install_snapshot,
            messages.AppendResponse: self._on_append_response,
            messages.Propose: self._on_propose,
            messages.WorkerRestrictions: self._on_worker_restrictions,
        }

    def _run_due_work(self) -> None:
        """Run retries, timeouts and the work of the current role."""
        persistence, now = self.persistence, self.clock.now
        if persistence.is_retry_due(now) and self.state.state_machine:
            persistence.rewrite(self.state.all_records(), self.state.log.last_index)
        for proposal in self.proposals.due(now):
            self._submit_to_leader(proposal)
        if self.phase != Phase.PARTICIPATING:
            self.bootstrap.run()
            return
        if self.roles.candidacy is not None:
            self.elections.count_votes()
        if self.roles.leadership is not None:
            self.roles.leadership.run()
        elif now >= self.elections.timeout_at:
            self._on_election_timeout()
        self.relay_choice.run()
        if not self.fan_out and (self.relay_children.children or self.relay_choice.relay):
            self._forget_relays()
        self.relay_children.run()

    def _on_election_timeout(self) -> None:
        """Start a campaign, or search for the leader."""
        self.elections.restart_timeout()
        if self.state.is_voter() and not self.persistence.failed and not self.applier.halt_reason:
            self.elections.campaign(pre_vote=True)
            return
        lost_at = self.roles.leader_contact.heard_at + LOST_AFTER_HEARTBEATS * self.state.heartbeat_us
        if not self.state.is_admitted() or not self.roles.leader or self.clock.now > lost_at:
            # This member was removed while away, or the fleet knows another incarnation: find the leader.
            self.discovery.ask_members()

    def wake_at(self) -> int:
        """Return the time by which the host must send a `Tick`."""
        is_participating = self.phase == Phase.PARTICIPATING
        times = [self.elections.timeout_at if is_participating else self.bootstrap.next_discovery_at]
        if self.roles.leadership is not None:
            times = [self.roles.leadership.wake_at()]
        times += [time for time in (self.persistence.retry_at, self.proposals.retry_at) if time is not None]
        if self.fan_out and is_participating and self.roles.is_follower():
            times += self.relay_children.wake_times() + self.relay_choice.wake_times()
        return min(times)

    # Inputs

    def _on_tick(self, tick: inputs.Tick) -> None:
        """Do nothing: `step` runs the due work after each input."""

    def _on_message_received(self, received: inputs.MessageReceived) -> None:
        sender, message = received.sender, received.message
        if sender == self.configuration.name:
            return
        self.discovery.record_message(sender, message)
        if self._is_accepted(message):
            self.message_handlers[type(message)](sender, received.incarnation, message)

    def _is_accepted(self, message: messages.AnyMessage) -> bool:
        """Return whether a message is processed in the current phase."""
        match message:
            case messages.DiscoverRequest() | messages.DiscoverResponse() | messages.BootstrapCluster():
                return True
            case messages.AppendEntries() | messages.InstallSnapshot():
                return self.phase in (Phase.PARTICIPATING, Phase.WITHOUT_FLEET)
        return self.phase == Phase.PARTICIPATING

    def _on_persisted(self, persisted: inputs.Persisted) -> None:
        self.persistence.on_persisted(persisted.token, self.clock.now)
        if self.phase == Phase.PARTICIPATING:
            self.acknowledgements.send_persisted()

    def _on_disk_failed(self, failed: inputs.DiskFailed) -> None:
        """Step down and withhold messages that depend on the disk; received messages are still processed."""
        self.persistence.on_failed(self.clock.now)
        self.roles.step_down_if_active()

    def _on_endpoint_list_update(self, update: inputs.EndpointListUpdate) -> None:
        self.restriction_sharing.lists.update_own(
            update.registry, update.kind, update.entries, update.generation
        )

    def _on_share_restrictions(self, share: inputs.ShareRestrictions) -> None:
        if not self.fan_out:
            self._on_worker_restrictions(self.configuration.name, self.incarnation, share.restrictions)

    def _on_proposal(self, proposal: inputs.Propose) -> None:
        self.proposals.add(proposal.id, proposal.change)
        self._submit_to_leader(messages.Propose(proposal.id, proposal.change))
        self.proposals.schedule_retry(self.clock.now)

    def _submit_to_leader(self, proposal: messages.Propose) -> None:
        if self.roles.leadership is not None:
            self.roles.leadership.take(proposal.id, proposal.change)
        elif self.roles.leader is not None:
            self.outbox.send(self.roles.leader, proposal)

    def _on_forget_proposal(self, forget: inputs.ForgetProposal) -> None:
        self.proposals.forget(forget.id)

    def _on_restore(self, restore: inputs.Restore) -> None:
        """Start a new fleet alone; messages from the former fleet's members no longer count."""
        self.roles.step_down_if_active()
        self._forget_fleet(restore.incarnation)
        self.bootstrap.begin_fleet(restore.fleet, restore.state)
        self.elections.campaign_soon()

    def _on_abandon(self, abandon: inputs.Abandon) -> None:
        """Leave the fleet and wait for the next one like a member with an empty disk."""
        self.roles.step_down_if_active()
        self.outbox.log_event("abandoned", fleet=self.fleet, life=self.incarnation)
        self._forget_fleet(abandon.incarnation)
        self.bootstrap.abandon()
        self.persistence.erase()

    def _forget_fleet(self, incarnation: str) -> None:
        self.state.reset(incarnation)
        self.persistence.forget_log()
        self.discovery.forget()
        self.observed_state.clear()
        self.roles.forget_leader()
        self.applier.clear_halt_reason()
        self.lease.clear()
        self._forget_relays()

    def _forget_relays(self) -> None:
        """Stop using relays; leases already granted remain counted."""
        self.relay_children.drop_all()
        self.relay_choice.forget()
        self.roles.leader_contact.forget_sender()

    def _on_leave(self, leave: inputs.Leave) -> None:
        """Transfer leadership to an up-to-date voter, which saves the election timeout."""
        successor = self.roles.leadership.successor() if self.roles.leadership is not None else None
        if successor is not None:
            self.outbox.send(successor, messages.TimeoutNow(self.state.term))

    # Messages dispatched by role

    def _on_append_response(self, sender: str, incarnation: str, response: messages.AppendResponse) -> None:
        if response.term > self.state.term:
            self.roles.observe_term(response.term)
        elif self.roles.leadership is not None:
            self.roles.leadership.on_append_response(sender, incarnation, response)
        else:
            self.relay_children.on_response(sender, incarnation, response)

    def _on_propose(self, sender: str, incarnation: str, propose: messages.Propose) -> None:
        if self.roles.leadership is not None:
            self.roles.leadership.take(propose.id, propose.change)

    def _on_worker_restrictions(
        self, sender: str, incarnation: str, restrictions: messages.WorkerRestrictions
    ) -> None:
        if self.fan_out:
            self.restriction_sharing.deliver(restrictions)
        elif self.roles.leadership is not None:
            self.roles.leadership.on_restrictions(restrictions)
        elif self.roles.leader is not None:
            self.outbox.send(self.roles.leader, restrictions)

    # State visible to the host

    @property
    def fleet(self) -> str:
        """The name of the fleet that this member belongs to; "" for none."""
        return self.state.fleet

    @property
    def incarnation(self) -> str:
        """The name of this incarnation of the member."""
        return self.state.incarnation

    @property
    def phase(self) -> Phase:
        """How far this member's startup has come."""
        return self.bootstrap.phase

    @property
    def role(self) -> Role:
        """The raft role of this member."""
        return self.roles.role

    @property
    def leader(self) -> str | None:
        """The name of the current leader; None if unknown."""
        return self.roles.leader

    @property
    def leadership(self) -> Leadership | None:
        """The leader's state; None unless this member leads."""
        return self.roles.leadership

    @property
    def term(self) -> int:
        """The current raft term."""
        return self.state.term

    @property
    def log(self) -> Log:
        """The raft log."""
        return self.state.log

    @property
    def commit_index(self) -> int:
        """The index of the last entry known to be committed, which is also applied."""
        return self.state.commit_index

    @property
    def state_machine(self) -> StateMachine | None:
        """The replicated state machine; None without a fleet."""
        return self.state.state_machine

    @property
    def lease_us(self) -> int:
        """The duration of a lease in microseconds."""
        return self.state.lease_us

    @property
    def fan_out(self) -> int:
        """The number of members per relay; 0: no relays, the leader sends to all members."""
        return self.state.fan_out

    def may_act(self, now: int) -> bool:
        """Return whether this member holds a lease, and so may act on its applied state."""
        return now < self.lease.lease_until and not self.applier.halt_reason

    def address_of(self, name: str) -> str | None:
        """Return the address of a current or departed member; None if unknown."""
        member = self.state.members().get(name)
        if member is None:
            member = next(
                (departed for departed in self.state.departed_members() if departed["name"] == name), None
            )
        # Members of the initial fleet are in the configuration, whose address takes precedence.
        configured = self.configuration.members.get(name)
        if configured is not None and (member is None or member.get("listed")):
            return configured
        return member["address"] if member else None

    def no_lease_reason(self) -> str:
        """Return why this member holds no lease, as a short text of HTTP answers; "" if it holds one."""
        name = self.configuration.name
        if self.applier.halt_reason:
            return self.applier.halt_reason
        if self.phase == Phase.WITHOUT_FLEET or not self.fleet:
            return self.bootstrap.waiting_reason()
        if self.phase == Phase.DISCOVERING:
            return "asks the others what they know of this one"
        if self.state_machine and name not in self.state.members():
            return f"{name} is no member of the fleet"
        return "" if self.clock.now < self.lease.lease_until else "no lease: no majority is heard"
