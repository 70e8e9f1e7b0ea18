"""Election timeouts, votes and pre-votes (Ongaro 2014, 3.4 and 9.6)."""

from collections.abc import Callable

from mastledge.consensus.clock import RandomDraws
from mastledge.consensus.core import Core
from mastledge.consensus.messages import TimeoutNow, VoteRequest, VoteResponse
from mastledge.consensus.observed_state import Observation, ObservedState
from mastledge.consensus.role_state import Candidacy
from mastledge.consensus.timing import MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT

VOTE = 1


class Elections:
    """Decides when this member campaigns and for which candidate it votes."""

    def __init__(
        self,
        core: Core,
        draws: RandomDraws,
        observed_state: ObservedState,
        begin_leadership: Callable[[], None],
    ):
        """Start the first election timeout; `begin_leadership` is called when an election is won."""
        self.core, self.draws, self.observed_state, self.begin_leadership = (
            core,
            draws,
            observed_state,
            begin_leadership,
        )
        self.timeout_at = 0
        self.restart_timeout()

    def restart_timeout(self) -> None:
        """Restart the election timeout with a new random length."""
        spread = MAX_ELECTION_TIMEOUT - MIN_ELECTION_TIMEOUT
        heartbeats = MIN_ELECTION_TIMEOUT + spread * self.draws.next()
        self.timeout_at = self.core.clock.now + int(heartbeats * self.core.state.heartbeat_us)

    def campaign_soon(self) -> None:
        """Campaign after one heartbeat, as there can be no other leader yet."""
        self.timeout_at = self.core.clock.now + self.core.state.heartbeat_us

    # As a voter

    def on_vote_request(self, sender: str, incarnation: str, request: VoteRequest) -> None:
        """Vote for a candidate whose log is at least as up to date as the local log."""
        if request.pre_vote:
            self._answer_pre_vote(sender, request)
            return
        state = self.core.state
        self.core.roles.observe_term(request.term)
        self.observed_state.record(sender, Observation(incarnation, request.term, 0, 0))
        granted = (
            request.term == state.term
            and state.voted_for in ("", sender)
            and self._is_up_to_date(request)
            and not self.core.persistence.failed
        )
        if granted and not state.voted_for:
            state.set_hard_state(state.term, sender)
            self.restart_timeout()
        response = VoteResponse(state.term, granted, pre_vote=False)
        if granted:
            self.core.persistence.send_when_persisted(sender, response)
        else:
            self.core.outbox.send(sender, response)

    def _answer_pre_vote(self, sender: str, request: VoteRequest) -> None:
        state, roles = self.core.state, self.core.roles
        granted = (
            request.term > state.term
            and self._is_up_to_date(request)
            and not self._has_leader()
            and roles.leadership is None
        )
        term = request.term if granted else state.term
        self.core.outbox.send(sender, VoteResponse(term, granted, pre_vote=True))

    def _has_leader(self) -> bool:
        """Return whether a leader was heard within the minimum election timeout, less one heartbeat."""
        roles, contact_us = self.core.roles, (MIN_ELECTION_TIMEOUT - 1) * self.core.state.heartbeat_us
        return roles.leader is not None and self.core.clock.now < roles.leader_contact.heard_at + contact_us

    def _is_up_to_date(self, request: VoteRequest) -> bool:
        log = self.core.state.log
        return (request.last_term, request.last_index) >= (log.last_term, log.last_index)

    # As a candidate

    def on_timeout_now(self, sender: str, incarnation: str, request: TimeoutNow) -> None:
        """Campaign at once, as the leader transfers its leadership to this member."""
        state = self.core.state
        is_leader = request.term == state.term and sender == self.core.roles.leader
        if is_leader and state.is_voter() and not self.core.persistence.failed:
            self.campaign(pre_vote=False)

    def campaign(self, pre_vote: bool) -> None:
        """Ask the voters for their votes; a pre-vote only asks whether they would vote."""
        state, persistence = self.core.state, self.core.persistence
        self.core.roles.become_candidate(Candidacy(pre_vote, persistence.token + 1))
        if not pre_vote:
            state.set_hard_state(state.term + 1, state.name)
        term = state.term + 1 if pre_vote else state.term
        request = VoteRequest(term, state.log.last_term, state.log.last_index, pre_vote)
        for name in state.voters():
            if name == state.name:
                continue
            if pre_vote:
                self.core.outbox.send(name, request)
            else:
                persistence.send_when_persisted(name, request)
        self.count_votes()

    def on_vote_response(self, sender: str, incarnation: str, response: VoteResponse) -> None:
        """Record a vote for the current campaign."""
        if not response.granted:
            self.core.roles.observe_term(response.term)
            return
        if not response.pre_vote:
            self.observed_state.record(sender, Observation(incarnation, response.term, 0, 0))
        candidacy, state = self.core.roles.candidacy, self.core.state
        # A new incarnation may have forgotten its vote in this term, so its vote must not count.
        if candidacy is None or not state.has_member(sender, incarnation):
            return
        asked_term = state.term + 1 if candidacy.pre_vote else state.term
        if response.pre_vote == candidacy.pre_vote and response.term == asked_term:
            candidacy.votes[sender] = VOTE

    def count_votes(self) -> None:
        """Start the election after a won pre-vote, or lead after a won election."""
        candidacy, state = self.core.roles.candidacy, self.core.state
        if candidacy.pre_vote or self.core.persistence.persisted_token >= candidacy.write_token:
            candidacy.votes[state.name] = VOTE
        if state.majority_value(candidacy.votes) != VOTE:
            return
        if candidacy.pre_vote:
            self.campaign(pre_vote=False)
        else:
            self.begin_leadership()
