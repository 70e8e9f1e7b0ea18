"""What a member does until it takes part: it is taken in, or begins a fleet. See docs/consensus.md."""

from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.core import Core
from mastledge.consensus.discovery import Discovery
from mastledge.consensus.elections import Elections
from mastledge.consensus.messages import BootstrapCluster, DiscoverRequest, DiscoverResponse
from mastledge.consensus.observed_state import ObservedState
from mastledge.consensus.roles import Phase
from mastledge.consensus.state_machine import initial_state

DISCOVERY_INTERVAL_US = 100_000  # between two times that a member asks the others at its start


class Bootstrap:
    """Owns the phase of the member: whether it takes part in a fleet yet."""

    def __init__(
        self,
        core: Core,
        configuration: MemberConfiguration,
        discovery: Discovery,
        elections: Elections,
        observed: ObservedState,
    ):
        """Begin by asking the others, whatever the disk holds."""
        self.core, self.configuration = core, configuration
        self.discovery, self.elections, self.observed = discovery, elections, observed
        self.phase = Phase.DISCOVERING
        self.ask_at = core.clock.now

    # What others ask

    def on_discover_request(self, sender: str, incarnation: str, request: DiscoverRequest) -> None:
        """Tell another member what is known of it; who is to hear of the fleet is helped to."""
        state, roles = self.core.state, self.core.roles
        if request.fleet and state.fleet and request.fleet != state.fleet:
            return
        self.discovery.record_contact(sender, incarnation, request)
        # A member without a fleet knows nothing of members but what its configuration says.
        is_member = sender in (state.members() if state.state_machine else self.discovery.configured)
        self._answer(sender, incarnation, is_member)
        if roles.leadership is not None and is_member:
            if state.knows(sender, incarnation):
                roles.leadership.adopt(sender)
            else:
                roles.leadership.admit(sender, incarnation)
        elif request.empty and self._missed_bootstrap(sender, incarnation):
            self._send_bootstrap(sender)

    def _answer(self, name: str, incarnation: str, is_member: bool) -> None:
        state, observed = self.core.state, self.observed.of(name, incarnation)
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
        """Return whether a member was there when the fleet began and may not know of it."""
        state = self.core.state
        is_new = (
            bool(state.fleet) and state.state_machine is not None and state.state_machine.applied_index <= 1
        )
        return is_new and state.knows(name, incarnation) and not self.core.roles.leader

    def _send_bootstrap(self, name: str) -> None:
        state = self.core.state
        message = BootstrapCluster(state.fleet, state.state_machine.snapshot())
        self.core.persistence.send_when_persisted(name, message)

    # What others tell

    def on_discover_response(self, sender: str, incarnation: str, response: DiscoverResponse) -> None:
        """Take part once a majority has told what it knows of this incarnation."""
        state = self.core.state
        if state.fleet and response.fleet and response.fleet != state.fleet:
            return
        self.discovery.responses[sender] = response
        self.discovery.record_contact(sender, incarnation, response)
        if self.phase != Phase.DISCOVERING or not state.fleet or response.empty:
            return
        if self._knows_more(response):
            self._begin_incarnation(sender, response)
        elif self._has_majority():
            self.phase = Phase.PARTICIPATING
            self.core.outbox.log_event(
                "joined", life=state.incarnation, term=state.term, last=state.log.last_index
            )

    def _knows_more(self, response: DiscoverResponse) -> bool:
        """Return whether this incarnation has promised what its disk, an old one, does not know."""
        log = self.core.state.log
        observed = response.observed_last_term, response.observed_last_index
        return response.observed_term > self.core.state.term or observed > (log.last_term, log.last_index)

    def _begin_incarnation(self, sender: str, response: DiscoverResponse) -> None:
        """Come as a new incarnation, which has promised nothing."""
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

    # A fleet begins, or takes this member in

    def on_bootstrap_cluster(self, sender: str, incarnation: str, message: BootstrapCluster) -> None:
        """Another member has begun the fleet, with this incarnation in it."""
        state = self.core.state
        me = message.state["members"].get(state.name)
        if not state.fleet and me and me["life"] == state.incarnation:
            self.begin_fleet(message.fleet, message.state)

    def begin_fleet(self, fleet: str, first_state: dict) -> None:
        """Take part in a new fleet from its first state on."""
        self.core.state.bootstrap(fleet, first_state)
        self.phase = Phase.PARTICIPATING
        self.core.outbox.log_event("formed", fleet=fleet, members=len(first_state["members"]))
        self.elections.restart_timeout()

    def join_fleet_of(self, sender: str) -> bool:
        """Take part in the fleet that a leader has sent a snapshot of, where its name is known."""
        state = self.core.state
        fleet = self.discovery.fleet_told_by(sender)
        if not fleet:
            return False
        state.join(fleet)
        self.phase = Phase.PARTICIPATING
        self.core.outbox.log_event("admitted", fleet=fleet, life=state.incarnation)
        return True

    def abandon(self) -> None:
        """Wait for a fleet that others begin."""
        self.phase = Phase.WITHOUT_FLEET
        self.discovery.forbid_bootstrap()

    def run(self) -> None:
        """Go on towards taking part."""
        state, now = self.core.state, self.core.clock.now
        if self.phase == Phase.DISCOVERING and state.fleet:
            if state.voters() == [state.name] and state.is_voter():
                self.phase = Phase.PARTICIPATING  # nobody else can know better
                self.elections.restart_timeout()
                return
        elif self.phase == Phase.DISCOVERING:
            self.phase = Phase.WITHOUT_FLEET
        if now >= self.ask_at:
            self.ask_at = now + DISCOVERY_INTERVAL_US
            self.discovery.ask_members()
        if self.phase == Phase.WITHOUT_FLEET and not state.fleet:
            self._begin_if_all_are_ready()

    def _begin_if_all_are_ready(self) -> None:
        """Begin a fleet, where all members are there without one; the first name does so for all."""
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
        """Return why a member without a fleet has none, in a few words."""
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
