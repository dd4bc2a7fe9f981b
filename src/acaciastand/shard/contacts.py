"""Contacts of agents with the owner of a shard: which attempts they renew, stop and end."""

from __future__ import annotations

from acaciastand.shard.events import AttemptEnd
from acaciastand.shard.runtime_state import (
    AgentContact,
    AgentRuntime,
    GrantState,
    LeaseDeadlines,
    ListedAttempt,
)
from acaciastand.shard.shard import Shard
from acaciastand.shard.state import Task


class ContactProcessor:
    """Compares the attempts that agents list with those that should run there.

    Parameters
    ----------
    shard
        The shard whose attempts are renewed.
    """

    def __init__(self, shard: Shard) -> None:
        self.shard = shard

    def process(
        self, contact: AgentContact, now: float, deadlines: LeaseDeadlines
    ) -> list[ListedAttempt]:
        """Process a hello or heartbeat, and return the listed attempts that are renewed at `now`.

        Listed attempts that should not run on this agent are stopped. An attempt that is not
        listed although it should be has ended if the worker has a newer incarnation; otherwise, and
        always for a bucket, the agent is asked to stop the attempt and to confirm the stop.
        """
        agent = self.shard.agents.setdefault(contact.agent_id, AgentRuntime())
        if not agent.apply_contact(contact) or self.shard.releasing or now >= deadlines.renew_until:
            return []
        renewed = [
            listed
            for listed in contact.listed
            if self._renew_attempt(contact, listed, now, deadlines)
        ]
        self._check_missing_attempts(contact, agent)
        return renewed

    def record_disconnect(self, agent_id: str) -> None:
        """Mark the outstanding grants of a disconnected agent as unknown.

        Its attempts count as running until their end is reported or proven.
        """
        for task in self.shard.state.running_on(agent_id):
            runtime = self.shard.attempts[task.task_id]
            if runtime.grant_state is GrantState.SENT:
                runtime.grant_state = GrantState.UNKNOWN
        if not self.shard.state.running_on(agent_id):
            self.shard.agents.pop(agent_id, None)

    def _renew_attempt(
        self, contact: AgentContact, listed: ListedAttempt, now: float, deadlines: LeaseDeadlines
    ) -> bool:
        if listed.ended or listed.epoch > self.shard.state.epoch:
            return False
        if not self._is_current(contact, listed):
            self.shard.send_stop(contact.agent_id, listed.task_id, listed.attempt)
            return False
        # Without a valid lease there may be a newer owner, which this agent may have obeyed before
        # it restarted. Only attempts that it lists under the present epoch certainly still belong
        # to this owner.
        if listed.epoch < self.shard.state.epoch and now >= deadlines.valid_until:
            return False
        runtime = self.shard.attempts[listed.task_id]
        runtime.last_sent_at = now
        runtime.epoch_confirmed = runtime.epoch_confirmed or listed.epoch == self.shard.state.epoch
        if runtime.grant_state is GrantState.UNKNOWN:
            runtime.grant_state = GrantState.ACCEPTED
        return True

    def _is_current(self, contact: AgentContact, listed: ListedAttempt) -> bool:
        task = self.shard.state.running.get(listed.task_id)
        return (
            task is not None
            and task.attempt == listed.attempt
            and task.agent_id == contact.agent_id
            and not self.shard.is_cancelled(task)
        )

    def _check_missing_attempts(self, contact: AgentContact, agent: AgentRuntime) -> None:
        missing = [
            task
            for task in self.shard.state.running_on(contact.agent_id)
            if (task.task_id, task.attempt) not in agent.listed
        ]
        for task in missing:
            is_replaced = contact.incarnation and contact.incarnation != task.incarnation
            if is_replaced and not task.is_bucket:
                self.shard.end_attempt(task, AttemptEnd.ABSENT)
            elif is_replaced or self._should_be_listed(task, contact):
                # The agent reports the attempt as stopped and refuses grants that arrive later.
                self.shard.send_stop(task.agent_id, task.task_id, task.attempt, True)

    def _should_be_listed(self, task: Task, contact: AgentContact) -> bool:
        runtime = self.shard.attempts[task.task_id]
        if runtime.grant_state is GrantState.UNKNOWN:
            return True
        if runtime.grant_state is not GrantState.ACCEPTED:
            return False
        if contact.connection != runtime.answered_connection:
            return True
        # The agent may have sent the next heartbeat before it accepted the grant.
        return contact.sequence >= runtime.answered_sequence + 2
