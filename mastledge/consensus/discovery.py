"""What a member asks the others at its start, and what they have told."""

from dataclasses import dataclass
from zlib import crc32

from mastledge.consensus.configuration import MemberConfiguration
from mastledge.consensus.core import Core
from mastledge.consensus.messages import DiscoverRequest, DiscoverResponse

LEARNERS_AT_ONCE = 16  # of the members that do not vote, in turn
CONTACT_VALIDITY_US = 1_000_000  # for which what a member has said of itself is relied on


@dataclass(frozen=True, slots=True)
class Contact:
    """What another member has said of itself, its incarnation, and when that came here."""

    at: int
    incarnation: str
    message: DiscoverRequest | DiscoverResponse


class Discovery:
    """Asks and answers of the members, by name."""

    def __init__(self, core: Core, configuration: MemberConfiguration):
        """Begin with nothing heard."""
        self.core, self.configured = core, configuration.members
        self.digest = crc32(repr(sorted(configuration.members)).encode())
        self.may_bootstrap = configuration.may_bootstrap
        self.responses: dict[str, DiscoverResponse] = {}
        self.contacts: dict[str, Contact] = {}
        self.last_messages: dict[
            str, tuple[int, bool]
        ] = {}  # of any kind: when, and whether its disk is empty
        self.learner_rotation = 0

    def forget(self) -> None:
        """Another fleet begins, or the own incarnation is another one."""
        self.responses, self.contacts = {}, {}

    def forbid_bootstrap(self) -> None:
        """This member is to begin no fleet any more."""
        self.may_bootstrap = False

    def record_message(self, sender: str, message: object) -> None:
        """A message of any kind has come."""
        is_empty = isinstance(message, DiscoverRequest | DiscoverResponse) and message.empty
        self.last_messages[sender] = self.core.clock.now, is_empty

    def record_contact(
        self, sender: str, incarnation: str, message: DiscoverRequest | DiscoverResponse
    ) -> None:
        """Another member has said what it is."""
        self.contacts[sender] = Contact(self.core.clock.now, incarnation, message)

    def present_members(self, now: int) -> set[str]:
        """Return who has said something lately and has not lost its disk."""
        return {
            name
            for name, (at, is_empty) in self.last_messages.items()
            if now - at < CONTACT_VALIDITY_US and not is_empty
        }

    def ask_members(self) -> None:
        """Ask who is there, and what is known of this member."""
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
        """Return the voters, the first name, which begins a fleet, and some of the others in turn.

        All of them at each time would be as many messages as the square of the members.
        """
        state = self.core.state
        first_name = [min(self.configured)] if self.configured else []
        always = {*state.voters(), *first_name} - {state.name}
        others = sorted({*self.configured} - always - {state.name})
        if len(others) > LEARNERS_AT_ONCE:
            start = self.learner_rotation = (self.learner_rotation + LEARNERS_AT_ONCE) % len(others)
            others = [*others[start:], *others[:start]][:LEARNERS_AT_ONCE]
        return sorted({*always, *others})

    def fleet_told_by(self, name: str) -> str:
        """Return the fleet that a member has told, else that any other has; "" where none has."""
        response = self.responses.get(name)
        if response is not None and response.fleet:
            return response.fleet
        return next((other.fleet for other in self.responses.values() if other.fleet), "")

    def ready_members(self) -> dict[str, tuple[str, str]] | None:
        """Return (address, incarnation) of the others once all are ready to begin a fleet; else None."""
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
