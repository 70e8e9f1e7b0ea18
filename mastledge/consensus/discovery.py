"""Discovery requests that a member sends to the other members at start, and the answers."""

from dataclasses import dataclass
from typing import NamedTuple
from zlib import crc32

from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.core import Core
from mastledge.consensus.messages import DiscoverRequest, DiscoverResponse

LEARNERS_AT_ONCE = 16  # non-voters asked per round, in rotation
CONTACT_VALIDITY_US = 1_000_000  # a contact older than this is ignored


class Presence(NamedTuple):
    """The time of a member's latest message, and whether the message says that its disk is empty."""

    at: int
    is_empty: bool


@dataclass(frozen=True, slots=True)
class Contact:
    """The latest discovery message of another member, its time of receipt, and the sender's incarnation."""

    at: int
    incarnation: str
    message: DiscoverRequest | DiscoverResponse


class Discovery:
    """Sends discovery requests and keeps the answers, by member name."""

    def __init__(self, core: Core, configuration: MemberConfiguration):
        """Initialize without any answers."""
        self.core, self.configured = core, configuration.members
        self.digest = crc32(repr(sorted(configuration.members)).encode())
        self.may_bootstrap = configuration.may_bootstrap
        self.responses: dict[str, DiscoverResponse] = {}
        self.contacts: dict[str, Contact] = {}
        self.presences: dict[str, Presence] = {}
        self.learner_rotation = 0

    def forget(self) -> None:
        """Discard all answers, when another fleet starts or this member gets a new incarnation."""
        self.responses, self.contacts = {}, {}

    def forbid_bootstrap(self) -> None:
        """Stop this member from starting a fleet."""
        self.may_bootstrap = False

    def record_message(self, sender: str, message: object) -> None:
        """Record the time of a message of any kind."""
        is_empty = isinstance(message, DiscoverRequest | DiscoverResponse) and message.empty
        self.presences[sender] = Presence(self.core.clock.now, is_empty)

    def record_contact(
        self, sender: str, incarnation: str, message: DiscoverRequest | DiscoverResponse
    ) -> None:
        """Record a discovery message of another member."""
        self.contacts[sender] = Contact(self.core.clock.now, incarnation, message)

    def present_members(self, now: int) -> set[str]:
        """Return the members that have sent a message recently and whose disk is not empty."""
        return {
            name
            for name, presence in self.presences.items()
            if now - presence.at < CONTACT_VALIDITY_US and not presence.is_empty
        }

    def ask_members(self) -> None:
        """Ask the other members for their state and what they know of this member."""
        state = self.core.state
        request = DiscoverRequest(
            fleet=state.fleet,
            empty=not state.fleet,
            may_bootstrap=self.may_bootstrap,
            members_digest=self.digest,
            term=state.term,
            last_term=state.log.last_term,
            last_index=state.log.last_index,
        )
        for name in self._members_to_ask():
            self.core.outbox.send(name, request)

    def _members_to_ask(self) -> list[str]:
        """Return the voters, the first name, which starts a fleet, and a rotating share of the others.

        Asking every member each time would send a number of messages quadratic in the number of members.
        """
        state = self.core.state
        first_name = [min(self.configured)] if self.configured else []
        always = {*state.voters(), *first_name} - {state.name}
        others = sorted({*self.configured} - always - {state.name})
        if len(others) > LEARNERS_AT_ONCE:
            start = self.learner_rotation = (self.learner_rotation + LEARNERS_AT_ONCE) % len(others)
            others = [*others[start:], *others[:start]][:LEARNERS_AT_ONCE]
        return sorted({*always, *others})

    def reported_fleet(self, name: str) -> str:
        """Return the fleet name that `name` reported, else that any other member did; "" if none did."""
        response = self.responses.get(name)
        if response is not None and response.fleet:
            return response.fleet
        return next((other.fleet for other in self.responses.values() if other.fleet), "")

    def ready_members(self) -> dict[str, tuple[str, str]] | None:
        """Return the others' (address, incarnation) if all are ready to start a fleet, else None."""
        members = {}
        for name, address in self.configured.items():
            if name == self.core.state.name:
                continue
            contact = self.contacts.get(name)
            if contact is None or not self._is_ready(contact):
                return None
            members[name] = address, contact.incarnation
        return members

    def _is_ready(self, contact: Contact) -> bool:
        message = contact.message
        is_recent = self.core.clock.now - contact.at < CONTACT_VALIDITY_US
        agrees = message.may_bootstrap and message.members_digest == self.digest
        return is_recent and message.empty and agrees
