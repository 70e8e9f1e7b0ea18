"""The start of a member until it joins an existing fleet or forms a new one. See docs/consensus.md."""

from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.core import Core
from mastledge.consensus.discovery import Discovery
from mastledge.consensus.elections import Elections
from mastledge.consensus.messages import BootstrapCluster, DiscoverRequest, DiscoverResponse
from mastledge.consensus.observed_state import ObservedState
from mastledge.consensus.roles import Phase
from mastledge.consensus.state_machine import initial_state

DISCOVERY_INTERVAL_US = 100_000  # between two rounds of discovery requests


class Bootstrap:
    """Owns the phase of the member: whether it participates in a fleet yet."""

    def __init__(
        self,
        core: Core,
        configuration: MemberConfiguration,
        discovery: Discovery,
        elections: Elections,
        observed_state: ObservedState,
    ):
        """Initialize in discovery, whatever is on disk: the other members are asked first."""
        self.core, self.configuration = core, configuration
        self.discovery, self.elections, self.observed_state = discovery, elections, observed_state
        self.phase = Phase.DISCOVERING
        self.next_discovery_at = core.clock.now

    # Requests of other members

    def on_discover_request(self, sender: str, incarnation: str, request: DiscoverRequest) -> None:
        """Answer a discovery request, and help its sender to join the fleet or follow the leader."""
        state, roles = self.core.state, self.core.roles
        if request.fleet and state.fleet and request.fleet != state.fleet:
            return
        self.discovery.record_contact(sender, incarnation, request)
        # A member without a fleet knows the other members from its configuration only.
        is_member = sender in (state.members() if state.state_machine else self.discovery.configured)
        self._answer(sender, incarnation, is_member)
        if roles.leadership is not None and is_member:
            if state.has_member(sender, incarnation):
                roles.leadership.contact_directly(sender)
            else:
                roles.leadership.propose_new_incarnation(sender, incarnation)
        elif request.empty and self._missed_bootstrap(sender, incarnation):
            self._send_bootstrap(sender)

    def _answer(self, name: str, incarnation: str, is_member: bool) -> None:
        state, observed = self.core.state, self.observed_state.of(name, incarnation)
        response = DiscoverResponse(
            fleet=state.fleet,
            empty=not state.fleet,
            may_bootstrap=self.discovery.may_bootstrap,
            members_digest=self.discovery.digest,
            is_member=is_member,
            observed_term=observed.term,
            observed_last_term=observed.last_term,
            observed_last_index=observed.last_index,
        )
        self.core.outbox.send(name, response)

    def _missed_bootstrap(self, name: str, incarnation: str) -> bool:
        """Return whether a founding member may have missed the message that formed the fleet."""
        state = self.core.state
        is_new = (
            bool(state.fleet) and state.state_machine is not None and state.state_machine.applied_index <= 1
        )
        return is_new and state.has_member(name, incarnation) and not self.core.roles.leader

    def _send_bootstrap(self, name: str) -> None:
        state = self.core.state
        message = BootstrapCluster(state.fleet, state.state_machine.snapshot())
        self.core.persistence.send_when_persisted(name, message)

    # Responses of other members

    def on_discover_response(self, sender: str, incarnation: str, response: DiscoverResponse) -> None:
        """Participate once a majority has reported what it knows of this incarnation."""
        state = self.core.state
        if state.fleet and response.fleet and response.fleet != state.fleet:
            return
        self.discovery.responses[sender] = response
        self.discovery.record_contact(sender, incarnation, response)
        if self.phase != Phase.DISCOVERING or not state.fleet or response.empty:
            return
        if self._is_disk_stale(response):
            self._begin_incarnation(sender, response)
        elif self._has_majority():
            self.phase = Phase.PARTICIPATING
            self.core.outbox.log_event(
                "joined", life=state.incarnation, term=state.term, last=state.log.last_index
            )

    def _is_disk_stale(self, response: DiscoverResponse) -> bool:
        """Return whether this incarnation has acknowledged a term or entry that its disk lacks."""
        log = self.core.state.log
        observed = response.observed_last_term, response.observed_last_index
        return response.observed_term > self.core.state.term or observed > (log.last_term, log.last_index)

    def _begin_incarnation(self, sender: str, response: DiscoverResponse) -> None:
        """Continue as a new incarnation, which has acknowledged nothing."""
        state, outbox = self.core.state, self.core.outbox
        outbox.log_event(
            "data_directory_stale",
            heard_term=response.observed_term,
            heard_last=response.observed_last_index,
            term=state.term,
            last=state.log.last_index,
            heard_by=sender,
        )
        fleet = state.fleet
        state.reset(self.configuration.new_incarnation)
        self.core.persistence.forget_log()
        self.discovery.forget()
        self.phase = Phase.WITHOUT_FLEET
        outbox.log_event("new_incarnation", life=state.incarnation, fleet=fleet)

    def _has_majority(self) -> bool:
        state, responses = self.core.state, self.discovery.responses
        voters = state.voters()
        heard = {name for name, response in responses.items() if name in voters and not response.empty}
        if state.is_voter():
            heard.add(state.name)
        return len(heard) > len(voters) // 2

    # Forming or joining a fleet

    def on_bootstrap_cluster(self, sender: str, incarnation: str, message: BootstrapCluster) -> None:
        """Start in a fleet that another member has formed with this incarnation."""
        state = self.core.state
        own_record = message.state["members"].get(state.name)
        if not state.fleet and own_record and own_record["life"] == state.incarnation:
            self.begin_fleet(message.fleet, message.state)

    def begin_fleet(self, fleet: str, first_state: dict) -> None:
        """Participate in a new fleet from its initial state."""
        self.core.state.bootstrap(fleet, first_state)
        self.phase = Phase.PARTICIPATING
        self.core.outbox.log_event("formed", fleet=fleet, members=len(first_state["members"]))
        self.elections.restart_timeout()

    def join_fleet_of(self, sender: str) -> bool:
        """Join the fleet whose leader sent a snapshot; return whether the name of that fleet is known."""
        state = self.core.state
        fleet = self.discovery.reported_fleet(sender)
        if not fleet:
            return False
        state.join(fleet)
        self.phase = Phase.PARTICIPATING
        self.core.outbox.log_event("admitted", fleet=fleet, life=state.incarnation)
        return True

    def abandon(self) -> None:
        """Wait for a fleet formed by others; never form one."""
        self.phase = Phase.WITHOUT_FLEET
        self.discovery.forbid_bootstrap()

    def run(self) -> None:
        """Continue discovery, and form a fleet once all members are ready."""
        state, now = self.core.state, self.core.clock.now
        if self.phase == Phase.DISCOVERING and state.fleet:
            if state.voters() == [state.name] and state.is_voter():
                self.phase = Phase.PARTICIPATING  # a sole voter needs no other member's answer
                self.elections.restart_timeout()
                return
        elif self.phase == Phase.DISCOVERING:
            self.phase = Phase.WITHOUT_FLEET
        if now >= self.next_discovery_at:
            self.next_discovery_at = now + DISCOVERY_INTERVAL_US
            self.discovery.ask_members()
        if self.phase == Phase.WITHOUT_FLEET and not state.fleet:
            self._begin_if_all_are_ready()

    def _begin_if_all_are_ready(self) -> None:
        """Form a fleet if no configured member has one and all are present; only the first name does so."""
        state, configured = self.core.state, self.discovery.configured
        if not self.discovery.may_bootstrap or state.name not in configured or state.name != min(configured):
            return
        others = self.discovery.ready_members()
        if others is None:
            return
        own = {state.name: (configured[state.name], state.incarnation)}
        members = {name: (own | others)[name] for name in configured}
        first_state = initial_state(self.configuration.settings, self.configuration.lease_us, members)
        self.begin_fleet(self.configuration.new_fleet, first_state)
        self.elections.campaign_soon()
        for name in others:
            self._send_bootstrap(name)

    def waiting_reason(self) -> str:
        """Return why this member has no fleet, as a short text of HTTP answers."""
        state, configured = self.core.state, self.discovery.configured
        fleets = [response for response in self.discovery.responses.values() if not response.empty]
        if fleets:
            is_known = any(response.is_member for response in fleets)
            return "asks to be taken in again" if is_known else f"{state.name} is no member of the fleet"
        contacts = self.discovery.contacts
        if not self.discovery.may_bootstrap:
            empty = sum(contact.message.empty for contact in contacts.values())
            return f"no fleet: {empty + 1} of {len(configured)} folders are empty, and form is not set"
        missing = sorted(set(configured) - set(contacts) - {state.name})
        if missing:
            return "a fleet is to be formed: nothing is heard of " + ", ".join(missing)
        return "forming"
