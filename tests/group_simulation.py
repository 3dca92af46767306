"""A simulated group of replicas: their rules, with a model of tasks, links, disks and time.

It does with the rules what a replica's tasks do: no reply leaves before a sync, one request to each
member at a time, an identity on each connection. One seed gives one history.
"""

import random
from collections.abc import Callable, Iterable
from functools import partial
from itertools import count

from cowslipvane.catalogue import Accepted, Change, Key, Service
from cowslipvane.replica import (
    Add,
    Append,
    AppendReply,
    Candidate,
    Install,
    Leader,
    PreVote,
    PreVoteReply,
    Replace,
    Replica,
    TakeOver,
    Vote,
    Voter,
    VoteReply,
)
from cowslipvane.storage import FolderDamaged, FolderEmpty
from cowslipvane.tasks.replication._hand_over import HAND_OVER_TIMEOUT, LEAVE_TIMEOUT
from cowslipvane.tasks.replication._joining import REJOIN_TIMEOUT, RETRY_INTERVAL, AskToJoin
from cowslipvane.tasks.replication._replication import WRITE_TIMEOUT
from cowslipvane.types import (
    Address,
    DataCentre,
    HostName,
    OperationId,
    ReplicaId,
    Seconds,
    Version,
)
from tests.simulated_files import FileDisk
from tests.simulated_journal import Disk, ProcessScheduler, Scheduler, SimulatedJournal

ELECTION_TIMEOUT: Seconds = 0.6
HEARTBEAT: Seconds = 0.1
TICK: Seconds = 0.02
MAX_LINK_DELAY: Seconds = 0.004
REQUEST_TIMEOUT: Seconds = ELECTION_TIMEOUT
COMPACT_AFTER_ENTRIES = 12

Request = PreVote | Vote | Append | Install
Reply = PreVoteReply | VoteReply | AppendReply


class Node:
    """One process: a replica, with what its tasks do."""

    def __init__(self, *, host: HostName, disk: Disk, group: "SimulatedGroup") -> None:
        self.host = host
        self.group = group
        self.is_running = True
        self.timers = ProcessScheduler(scheduler=group.scheduler)
        self._journal = SimulatedJournal(disk=disk, scheduler=self.timers, rng=group.rng)
        self.replica = Replica(
            host=host,
            replica_id=disk.replica_id,
            founders=disk.founders,
            journal=self._journal,
            recovered=disk.recover(),
            election_timeout=ELECTION_TIMEOUT,
            rng=group.rng,
            now=group.now,
            compact_after_entries=COMPACT_AFTER_ENTRIES,
        )
        self._requests: dict[HostName, int] = {}
        # The process of each member to which the last request went.
        self._connected: dict[HostName, Node] = {}
        self._serial = count()
        self._candidate_term = self._leader_term = 0
        self._current_at = group.now
        self._next_join_at = group.now
        self._tick()

    def kill(self) -> None:
        """End the process at once."""
        self.is_running = False
        self._journal.close()

    @property
    def is_writing_as_follower(self) -> bool:
        """Return whether records of a leader, or a vote, are on their way to the disk."""
        return self._journal.is_writing and not isinstance(self.replica.role, Leader)

    @property
    def is_writing_snapshot(self) -> bool:
        """Return whether a snapshot, its own or one from the leader, is on its way to the disk."""
        return self._journal.is_writing_snapshot

    def stop(self, on_exit: Callable[[], None]) -> None:
        """Hand over, leave the vote to others, and exit, as a process does after SIGTERM."""
        self.replica.mark_stopping()
        self._hand_over_by(self.group.now + HAND_OVER_TIMEOUT, on_exit)

    def _hand_over_by(self, deadline: Seconds, on_exit: Callable[[], None]) -> None:
        """As leader, hand over until a deadline; then leave."""
        if not self.is_running:
            return
        self._hand_over()
        if isinstance(self.replica.role, Leader) and self.group.now < deadline:
            self.timers.after(TICK, partial(self._hand_over_by, deadline, on_exit))
        else:
            self._leave_by(self.group.now + LEAVE_TIMEOUT, on_exit)

    def _leave_by(self, deadline: Seconds, on_exit: Callable[[], None]) -> None:
        """Ask the leader to do without this replica's vote until a deadline; then exit."""
        if not self.is_running:
            return
        if not self.replica.may_be_replaced or self.group.now >= deadline:
            on_exit()
            return
        retry = partial(self._leave_by, deadline, on_exit)
        leader = self.replica.leader
        if leader is None or not self.group.send_leave(self, leader, on_exit):
            self.timers.after(HEARTBEAT, retry)
        else:
            self.timers.after(LEAVE_TIMEOUT, on_exit)

    def handle_leave(self, host: HostName, reply: Callable[[], None]) -> None:
        """As leader, reply once the group does without a member's vote, or can't now."""
        if not isinstance(self.replica.role, Leader):
            return
        self.replica.record_leaving(host)
        self._release_by(self.group.now + LEAVE_TIMEOUT, host, reply)

    def _release_by(self, deadline: Seconds, host: HostName, reply: Callable[[], None]) -> None:
        """Reply once the group does without a member's vote, can't, or a deadline has passed."""
        self._maintain_group()
        now, is_leader = self.group.now, isinstance(self.replica.role, Leader)
        if is_leader and now < deadline and not self.replica.is_released(host, now):
            self.timers.after(TICK, partial(self._release_by, deadline, host, reply))
        elif is_leader:
            reply()

    def _hand_over(self) -> None:
        """As leader, hand over to a voter that has the whole log, if there is one."""
        term = self.replica.term
        successor = self.replica.hand_over(self.group.now)
        if successor is not None:
            self.group.send_take_over(self, successor.host, TakeOver(term=term))

    def handle_take_over(self, request: TakeOver) -> None:
        """Start an election if the leader requests it."""
        if self.replica.take_over(request, self.group.now):
            self._complete_role_change()

    def lose_connection(self, host: HostName) -> None:
        """End the request to a host whose process has reset its connection."""
        self._requests.pop(host, None)

    def propose(self, change: Change) -> bool:
        """Append a change if this is the leader, and return whether it did."""
        if self.replica.propose(change, stamped_at=self.group.now) is None:
            return False
        self._sync_leader_log()
        return True

    def handle(self, request: Request, reply_to: Callable[[Reply], None]) -> None:
        """Handle a request of another member, and reply after a sync."""
        now = self.group.now
        reply: Reply
        match request:
            case PreVote():
                reply = self.replica.handle_pre_vote(request, now)
                if not reply.idle:
                    reply_to(reply)
                    return
            case Vote():
                reply = self.replica.handle_vote(request, now)
            case Append():
                reply = self.replica.handle_append(request, now)
            case Install():
                reply = self.replica.handle_install(request, now)
        self._journal.when_synced(lambda: reply_to(reply))

    def handle_join(self, request: AskToJoin) -> None:
        """As leader, take a replica in; else pass the request on to the leader."""
        replica = self.replica
        if not isinstance(replica.role, Leader):
            if replica.leader is not None:
                self.group.send_join(self, replica.leader, request, is_forwarded=True)
            return
        joining = request.replica
        if replica.has_taken_in(joining, is_founder=request.is_founder):
            return
        known = replica.group.member(joining.host)
        change = Add(learner=joining) if known is None else Replace(learner=joining)
        if isinstance(replica.change_group(change, stamped_at=self.group.now), int):
            self._sync_leader_log()

    def _tick(self) -> None:
        """Do what is due, and again after a while."""
        if not self.is_running:
            return
        now = self.group.now
        if isinstance(self.replica.role, Leader):
            self.replica.check_quorum(now)
            if self.replica.should_hand_over(now, self.group.data_centres):
                self._hand_over()
        elif now >= self.replica.election_due_at:
            self.replica.start_pre_vote(now)
            self._complete_role_change()
        if self.replica.is_current(now):
            self._current_at = now
        if now >= self._next_join_at and not self._is_settled(now):
            self._next_join_at = now + RETRY_INTERVAL * self.group.rng.uniform(0.5, 1.5)
            own = Voter(self.host, address(self.host), self.replica.replica_id)
            others = sorted(self.group.hosts - {self.host})
            request = AskToJoin(group="", replica=own, is_founder=self.replica.is_founder)
            self.group.send_join(self, self.group.rng.choice(others), request)
        self._send_requests()
        self.timers.after(TICK, self._tick)

    def _is_settled(self, now: Seconds) -> bool:
        """Return whether there is no reason to ask to join."""
        member = self.replica.group.member(self.host)
        is_member = member is not None and self.replica.matches_identity(member.replica_id)
        return is_member and now < self._current_at + REJOIN_TIMEOUT

    def _send_requests(self) -> None:
        """Send the next request to each member that has replied to the one before."""
        for member in self.replica.group.members:
            if member.host != self.host and member.host not in self._requests:
                self._send_request(member)

    def _send_request(self, member: Voter) -> None:
        """Send the next request to a member."""
        replica, now = self.replica, self.group.now
        request = replica.next_message_for(member.host) or replica.vote_request_for(member.host)
        if request is None:
            return
        number = self._requests[member.host] = next(self._serial)
        receiver = self.group.nodes.get(member.host)
        if receiver is not None and receiver is not self._connected.get(member.host):
            self._connected[member.host] = receiver
            replica.record_start(member.host)

        def end() -> None:
            if self._requests.get(member.host) == number:
                del self._requests[member.host]

        def receive(reply: Reply, replica_id: ReplicaId) -> None:
            if self._requests.get(member.host) != number:
                return
            end()
            if replica.check_identity(member.host, replica_id):
                self._handle_reply(reply, now)

        def mismatch() -> None:
            if member.replica_id:
                replica.record_identity_mismatch(member.host, self.group.now)
                self._complete_role_change()

        is_refused = not self.group.send(self, member, request, receive, mismatch)
        self.timers.after(HEARTBEAT if is_refused else REQUEST_TIMEOUT, end)

    def _handle_reply(self, reply: Reply, sent_at: Seconds) -> None:
        """Handle a reply, and do what follows from it."""
        match reply:
            case PreVoteReply():
                self.replica.handle_pre_vote_reply(reply, self.group.now)
            case VoteReply():
                self.replica.handle_vote_reply(reply, self.group.now)
            case AppendReply():
                self.replica.handle_append_reply(reply, sent_at=sent_at)
        self._complete_role_change()
        self._maintain_group()

    def _maintain_group(self) -> bool:
        """Append the group change that is due, if any; return whether there was one."""
        now = self.group.now
        index = self.replica.maintain_group(
            stamped_at=now, now=now, data_centres=self.group.data_centres
        )
        if index is not None:
            self._sync_leader_log()
        return index is not None

    def _complete_role_change(self) -> None:
        """Sync what a new candidate or leader has recorded, once for each role and term."""
        term = self.replica.term
        if isinstance(self.replica.role, Candidate) and self._candidate_term != term:
            self._candidate_term = term
            self._journal.when_synced(lambda: self._record_own_vote(term))
        if isinstance(self.replica.role, Leader) and self._leader_term != term:
            self._leader_term = term
            self._sync_leader_log()

    def _record_own_vote(self, term: int) -> None:
        """Count the own vote of a candidate."""
        self.replica.record_own_vote(term, self.group.now)
        self._complete_role_change()

    def _sync_leader_log(self) -> None:
        """Sync the leader's log, and count the leader towards the majority."""
        index, term = self.replica.last_index, self.replica.term

        def record() -> None:
            if self.replica.term == term and isinstance(self.replica.role, Leader):
                self.replica.record_synced(index)

        self._journal.when_synced(record)


class SimulatedGroup:
    """Machines with a disk each, the links between them, and an operator."""

    def __init__(self, *, seed: int, founders: int, has_files: bool = False) -> None:
        self.rng = random.Random(seed)
        self._has_files = has_files
        # Disks that a process couldn't use.
        self._refused: list[str] = []
        self.scheduler = Scheduler()
        self._ids = count()
        self.hosts = {HostName(f"m{number}") for number in range(founders)}
        voters = tuple(Voter(host, address(host)) for host in sorted(self.hosts))
        self.disks = {host: self._new_disk(voters) for host in sorted(self.hosts)}
        self.nodes: dict[HostName, Node] = {}
        self.cut: set[HostName] = set()
        # Each founder is in a data centre of its own.
        self.data_centres = {host: DataCentre(f"of {host}") for host in self.hosts}
        self.accepted: dict[OperationId, Version] = {}
        self._sent = count()
        for host in sorted(self.hosts):
            self.start(host)

    @property
    def now(self) -> Seconds:
        """Return the time, which every machine's clock tells."""
        return self.scheduler.now

    def run(self, duration: Seconds) -> None:
        """Let time pass."""
        self.scheduler.run_until(self.now + duration)

    def start(self, host: HostName) -> None:
        """Start the process of a machine, unless it runs."""
        if host not in self.nodes and host in self.hosts:
            try:
                self.nodes[host] = Node(host=host, disk=self.disks[host], group=self)
            except (FolderDamaged, FolderEmpty) as error:
                self._refused.append(f"{host} can't use its disk: {error}")

    def kill(self, host: HostName) -> None:
        """Kill the process of a machine, if it runs; its kernel resets the connections."""
        self._end_process(host)
        for node in self.nodes.values():
            self.scheduler.after(HEARTBEAT, partial(node.lose_connection, host))

    def stop(self, host: HostName, on_exit: Callable[[], None]) -> None:
        """Send SIGTERM to the process of a machine, if it runs."""

        def exit_once() -> None:
            if self.nodes.get(host) is node:
                self.kill(host)
                on_exit()

        node = self.nodes.get(host)
        if node is not None:
            node.stop(exit_once)

    def freeze(self, host: HostName) -> None:
        """Freeze the process of a machine, if it runs."""
        if host in self.nodes:
            self.nodes[host].timers.freeze()

    def thaw(self, host: HostName) -> None:
        """Let the process of a machine run on, if there is one."""
        if host in self.nodes:
            self.nodes[host].timers.thaw()

    def lose_power(self, host: HostName) -> None:
        """Take a machine's power."""
        self._end_process(host)
        self.disks[host].lose_power(self.rng)

    def lose_disk(self, host: HostName) -> None:
        """Put an empty disk into a machine that isn't running."""
        self._end_process(host)
        self.disks[host].close()
        self.disks[host] = self._new_disk(())

    def close(self) -> None:
        """End all processes."""
        for host in list(self.nodes):
            self.kill(host)
        for disk in self.disks.values():
            disk.close()

    def add_machine(self, *, beside: HostName | None = None) -> HostName:
        """Start an empty machine at a new address, in the data centre of another one if given."""
        host = HostName(f"m{len(self.disks)}")
        self.hosts.add(host)
        self.data_centres[host] = self.data_centres.get(beside or host, DataCentre(f"of {host}"))
        self.disks[host] = self._new_disk(())
        self.start(host)
        return host

    def remove_machine(self, host: HostName) -> None:
        """Take a machine away for good."""
        self.kill(host)
        self.hosts.discard(host)
        self.cut.discard(host)

    def _end_process(self, host: HostName) -> None:
        """End the process of a machine, if it runs."""
        if host in self.nodes:
            self.nodes.pop(host).kill()

    def send_change(self) -> None:
        """Send a change to whichever process leads, and wait for its acceptance."""
        number = next(self._sent)
        name = OperationId(f"op-{number}")
        key = Key("service", f"s{number % 5}")
        for node in list(self.nodes.values()):
            if node.timers.is_frozen or (node.host in self.cut and self.rng.random() < 0.5):
                continue
            change = Change(name, node.replica.catalogue.version, ((key, Service()),))
            if node.propose(change):
                self._await_outcome(node, name, self.now + WRITE_TIMEOUT)
                return

    def leader(self) -> Node | None:
        """Return the process that holds the lease, if there is one."""
        leading = [node for node in self.nodes.values() if node.replica.holds_lease(self.now)]
        return leading[0] if leading else None

    def violations(self) -> list[str]:
        """Return what is wrong at this moment with what processes have, or answer to a read."""
        newest = max(self.accepted.values(), default=0)
        leading = [node for node in self.nodes.values() if node.replica.holds_lease(self.now)]
        hosts = [node.host for node in leading]
        return [
            *self._refused,
            *([f"{hosts} hold a lease at once"] if len(leading) > 1 else []),
            *(
                f"{node.host} answers with version {node.replica.catalogue.version} after {newest}"
                for node in leading
                if node.replica.catalogue.version < newest
            ),
            *(
                f"{node.host} has {name} as {outcome}, not as version {version}"
                for node in self.nodes.values()
                for name, version in self.accepted.items()
                if (outcome := node.replica.catalogue.outcome(name)) is not None
                and not (isinstance(outcome, Accepted) and outcome.version == version)
            ),
        ]

    def missing(self, node: Node, accepted: Iterable[OperationId]) -> list[OperationId]:
        """Return those of some accepted changes that a process lacks."""
        outcome = node.replica.catalogue.outcome
        return [name for name in accepted if outcome(name) is None]

    def send(
        self,
        sender: Node,
        member: Voter,
        request: Request,
        receive: Callable[[Reply, ReplicaId], None],
        mismatch: Callable[[], None],
    ) -> bool:
        """Deliver a request to the process on a host, and its reply; return False without one."""
        receiver = self.nodes.get(member.host)

        def reply_to(reply: Reply) -> None:
            assert receiver is not None
            replica_id = receiver.replica.replica_id
            self._deliver(receiver, sender, lambda: receive(reply, replica_id))

        def deliver() -> None:
            assert receiver is not None
            if receiver.replica.matches_identity(member.replica_id):
                receiver.handle(request, reply_to)
            else:
                self._deliver(receiver, sender, mismatch)

        if receiver is None:
            return False
        self._deliver(sender, receiver, deliver)
        return True

    def send_join(
        self, sender: Node, host: HostName, request: AskToJoin, *, is_forwarded: bool = False
    ) -> None:
        """Deliver a request to join."""
        receiver = self.nodes.get(host)
        if receiver is None or (is_forwarded and not isinstance(receiver.replica.role, Leader)):
            return
        self._deliver(sender, receiver, lambda: receiver.handle_join(request))

    def send_take_over(self, sender: Node, host: HostName, request: TakeOver) -> None:
        """Deliver a request to take over."""
        receiver = self.nodes.get(host)
        if receiver is not None:
            self._deliver(sender, receiver, lambda: receiver.handle_take_over(request))

    def send_leave(self, sender: Node, host: HostName, on_reply: Callable[[], None]) -> bool:
        """Tell a leader that a process is stopping, and deliver its reply; False without one."""
        receiver = self.nodes.get(host)
        if receiver is None:
            return False

        def reply() -> None:
            self._deliver(receiver, sender, on_reply)

        self._deliver(sender, receiver, lambda: receiver.handle_leave(sender.host, reply))
        return True

    def _deliver(self, sender: Node, receiver: Node, callback: Callable[[], None]) -> None:
        """Deliver a message, unless either process ends or a cut lies between them."""

        def handle() -> None:
            if receiver.is_running:
                callback()

        def arrive() -> None:
            is_linked = (sender.host in self.cut) == (receiver.host in self.cut)
            if sender.is_running and receiver.is_running and is_linked:
                receiver.timers.run(handle)

        self.scheduler.after(self.rng.uniform(0.0, MAX_LINK_DELAY), arrive)

    def _await_outcome(self, node: Node, name: OperationId, deadline: Seconds) -> None:
        """Record a change as accepted once the process to which it was sent says so."""
        if not node.is_running or self.now > deadline:
            return
        match node.replica.catalogue.outcome(name):
            case Accepted(version=version):
                self.accepted[name] = version
            case None:
                self.scheduler.after(0.002, lambda: self._await_outcome(node, name, deadline))

    def _new_disk(self, founders: tuple[Voter, ...]) -> Disk:
        """Return an empty disk with a new identity."""
        new_disk = partial(FileDisk, rng=self.rng) if self._has_files else Disk
        return new_disk(replica_id=ReplicaId(f"id{next(self._ids)}"), founders=founders)


def address(host: HostName) -> Address:
    """Return a machine's address, which the simulation doesn't use."""
    return Address(host, 1)
