"""Random histories of a simulated group, through kills, cuts, lost power and lost disks.

Run as a program, it plays many seeds and prints those that fail.
"""

import argparse
from collections import Counter
from collections.abc import Callable
from contextlib import closing

from cowslipvane.types import HostName, OperationId, Seconds
from tests.group_simulation import SimulatedGroup

MAX_FAULTS = 12
FORMATION: Seconds = 3.0
# A machine that lost its disk counts as lost until it has been back for this long.
CATCH_UP: Seconds = 4.0
# After the final fault each machine has to have everything by then.
RECOVERY: Seconds = 15.0
CHANGE_INTERVAL: Seconds = 0.15
STEP: Seconds = 0.05
# Changes that are sent at once; several get into one write.
BURSTS = (1, 1, 1, 5)
SHORT_STEP: Seconds = 0.001
MAX_WAIT: Seconds = 2.0
FAULTS = (
    "kill",
    "kill all",
    "power",
    "power all",
    "disk",
    "cut",
    "behind",
    "new",
    "snapshot",
    "accepted",
    "planned",
)
# Share of the faults that come with another one of their kind.
REPEATED_SHARE = 0.5


class History:
    """One random history, with the machines that are set up and the faults so far."""

    def __init__(self, *, seed: int, size: int, has_files: bool = False) -> None:
        self.group = SimulatedGroup(seed=seed, founders=3, has_files=has_files)
        self.rng = self.group.rng
        self.violations: list[str] = []
        self.trace: list[str] = []
        self._next_change_at = 0.0
        # The first faults may come while the founders don't know each other's identities.
        self.run(self.rng.uniform(0, FORMATION))
        for _ in range(size - 3):
            self.group.add_machine()
        self.run(self.rng.uniform(0, FORMATION))

    def run(self, duration: Seconds) -> None:
        """Let time pass, with changes on the way, and check what processes answer."""
        end = self.group.now + duration
        while self.group.now < end and not self.violations:
            if self.group.now >= self._next_change_at:
                self._next_change_at = self.group.now + self.rng.uniform(0, 2 * CHANGE_INTERVAL)
                for _ in range(self.rng.choice(BURSTS)):
                    self.group.send_change()
            self.group.run(min(STEP, end - self.group.now))
            self.violations += self.group.violations()

    def note(self, fault: str) -> None:
        """Add a fault to the trace."""
        self.trace.append(f"{self.group.now:.2f} {fault}")

    def restart(self, hosts: list[HostName]) -> None:
        """Start machines within two seconds of each other."""
        self.rng.shuffle(hosts)
        for host in hosts:
            self.run(self.rng.uniform(0, 2.0 / len(hosts)))
            self.group.start(host)

    def inject(self) -> None:
        """Inject one fault, and let the group catch up after it if it took a disk."""
        group, rng = self.group, self.rng
        hosts = sorted(group.hosts)
        host = rng.choice(hosts)
        match rng.choice(FAULTS):
            case "kill":
                self.note(f"kill {host}")
                group.kill(host)
                self.run(rng.uniform(0, 2))
                group.start(host)
            case "kill all":
                self.note("kill all")
                for each in hosts:
                    group.kill(each)
                self.restart(hosts)
            case "power":
                self.note(f"power {host}")
                group.lose_power(host)
                self.run(rng.uniform(0, 4))
                group.start(host)
            case "power all":
                self.power_all(hosts)
                self.run(rng.uniform(0, 0.3))
                self.power_all(hosts)
            case "disk":
                self.lose_disk(host)
                self.lose_disk_again(host)
            case "cut":
                self.note(f"cut {host}")
                group.cut = set(rng.sample(hosts, rng.randint(1, len(hosts) // 2)))
                self.run(rng.uniform(1, 14))
                group.cut = set()
            case "behind":
                self.fall_behind(hosts)
            case "new":
                self.note(f"replace {host}")
                group.remove_machine(host)
                self.lose_disk_again(group.add_machine())
            case "planned":
                self.replace_as_planned(host)
            case "snapshot":
                self.fail_within_snapshot(host, hosts)
            case "accepted":
                if rng.random() < REPEATED_SHARE:
                    self.kill_followers_within_writes()
                self.run_until_accepted()
                self.power_all(hosts)
        self.run(rng.uniform(0, 2))

    def replace_as_planned(self, host: HostName) -> None:
        """Add a machine, let an old one leave once that has caught up, and lose a disk at once."""
        group, rng = self.group, self.rng
        is_stopped = rng.random() < REPEATED_SHARE
        self.note(f"replace {host} as planned, {'with' if is_stopped else 'without'} a signal")
        group.add_machine(beside=host)
        self.run(CATCH_UP)
        if is_stopped:
            group.stop(host, lambda: None)
            self.run_until(lambda: host not in group.nodes)
        group.remove_machine(host)
        self.lose_disk(rng.choice(sorted(group.hosts)))
        self.run(CATCH_UP)

    def lose_disk(self, host: HostName) -> None:
        """Lose a disk, and start the machine with an empty one."""
        self.note(f"disk {host}")
        self.group.lose_disk(host)
        self.run(self.rng.uniform(0, 2))
        self.group.start(host)

    def lose_disk_again(self, host: HostName) -> None:
        """Let the group catch up, and sometimes lose the new disk before it has."""
        if self.rng.random() < REPEATED_SHARE:
            self.run(self.rng.uniform(0, CATCH_UP))
            self.lose_disk(host)
        self.run(CATCH_UP)

    def kill_followers_within_writes(self) -> None:
        """Kill followers between a write and its sync, while the majority needs them."""
        group, rng = self.group, self.rng
        others = sorted(group.hosts - {self.leading_host()})
        dark = rng.sample(others, (len(group.hosts) - 1) // 2)
        for each in dark:
            group.lose_power(each)
        self.run_until(self.writing_followers)
        killed = self.writing_followers()
        self.note(f"dark {dark}, kill {killed}")
        # No later write syncs what they had written.
        self._next_change_at = group.now + MAX_WAIT
        for each in killed:
            group.kill(each)
            group.start(each)

    def leading_host(self) -> HostName | None:
        """Return the host of the leader, if there is one."""
        leader = self.group.leader()
        return leader.host if leader else None

    def writing_followers(self) -> list[HostName]:
        """Return the followers that write at this moment."""
        return [each for each, node in self.group.nodes.items() if node.is_writing_as_follower]

    def run_until_accepted(self) -> None:
        """Let time pass until the very moment at which a change is known to be accepted."""
        count = len(self.group.accepted)
        self.run_until(lambda: len(self.group.accepted) > count)

    def run_until(self, condition: Callable[[], object]) -> None:
        """Let time pass until a condition holds, or for some time if it never does."""
        deadline = self.group.now + MAX_WAIT
        while not condition() and self.group.now < deadline and not self.violations:
            self.run(SHORT_STEP)

    def fail_within_snapshot(self, host: HostName, hosts: list[HostName]) -> None:
        """Let a machine fail while it writes a snapshot, its own or one that is installed."""
        group, rng = self.group, self.rng
        if rng.random() < REPEATED_SHARE:
            group.cut = {host}
            self.run(rng.uniform(2, 6))
            group.cut = set()
        self.run_until(lambda: host in group.nodes and group.nodes[host].is_writing_snapshot)
        match rng.choice(("kill", "power", "power all", "disk")):
            case "kill":
                self.note(f"kill {host} in a snapshot")
                group.kill(host)
                group.start(host)
            case "power":
                self.note(f"power {host} in a snapshot")
                group.lose_power(host)
                group.start(host)
            case "power all":
                self.power_all(hosts)
            case "disk":
                self.lose_disk(host)
                self.run(CATCH_UP)

    def power_all(self, hosts: list[HostName]) -> None:
        """Take the power of all machines at one moment."""
        self.note("power all")
        for each in hosts:
            self.group.lose_power(each)
        self.restart(hosts)

    def fall_behind(self, hosts: list[HostName]) -> None:
        """Let a minority miss changes and meet an empty disk while the others are dark."""
        group, rng = self.group, self.rng
        behind, lost, *others = rng.sample(hosts, len(hosts))
        self.note(f"behind {behind}, disk {lost}, dark {others}")
        group.cut = {behind}
        self.run(rng.uniform(0.5, 14))
        for each in others:
            group.lose_power(each)
        group.lose_disk(lost)
        group.cut = set()
        group.start(lost)
        self.run(rng.uniform(1, 8))
        self.restart(others)
        self.run(CATCH_UP)

    def end(self) -> None:
        """Inject the final fault, most often right after a change is known to be accepted."""
        match self.rng.choice(("killed", "accepted", "any")):
            case "killed":
                self.kill_followers_within_writes()
                self.run_until_accepted()
            case "accepted":
                self.run_until_accepted()
            case "any":
                self.run(self.rng.uniform(0.005, 0.4))
        hosts = sorted(self.group.hosts)
        # The machine that has just acknowledged, or any.
        leading = [self.leading_host() or hosts[0]]
        self.lose_disk_and_power(self.rng.choice(self.rng.choice((leading, hosts))))

    def lose_disk_and_power(self, lost: HostName) -> None:
        """Lose a disk and the power of all others at one moment, and check what is read back."""
        hosts = sorted(self.group.hosts)
        self.note(f"final: disk {lost}, power of the others")
        self.group.lose_disk(lost)
        for each in hosts:
            if each != lost:
                self.group.lose_power(each)
        accepted = tuple(self.group.accepted)
        self.restart(hosts)
        self.until_read_back(accepted)

    def until_read_back(self, accepted: tuple[OperationId, ...]) -> None:
        """Wait until a leader answers and each machine has what was accepted before the fault."""
        deadline = self.group.now + RECOVERY
        while (unfinished := self.unfinished_recovery(accepted)) and self.group.now < deadline:
            self.run(STEP)
            if self.violations:
                return
        self.violations += unfinished

    def unfinished_recovery(self, accepted: tuple[OperationId, ...]) -> list[str]:
        """Return what is still missing after the final fault."""
        group = self.group
        leader = group.leader()
        if leader is None:
            return ["no leader answers after the final fault"]
        if lost := group.missing(leader, accepted):
            return [f"{lost} are lost"]
        return [
            f"{node.host} lacks {missing}"
            for node in group.nodes.values()
            if (missing := group.missing(node, accepted))
        ]


def play(seed: int, size: int, *, has_files: bool = False) -> History:
    """Play one history to its end, or until something is wrong."""
    history = History(seed=seed, size=size, has_files=has_files)
    with closing(history.group):
        for _ in range(history.rng.randint(0, MAX_FAULTS)):
            if history.violations:
                return history
            history.inject()
        if not history.violations:
            history.end()
        return history


def main() -> None:
    """Play many seeds by hand, and print those that fail."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--size", type=int, default=4)
    parser.add_argument("--files", action="store_true", help="use real journals; slower")
    options = parser.parse_args()
    totals: Counter[str] = Counter()
    for seed in range(options.first, options.first + options.seeds):
        history = play(seed, options.size, has_files=options.files)
        totals["accepted"] += len(history.group.accepted)
        totals["faults"] += len(history.trace)
        if history.violations:
            totals["failed"] += 1
            print(seed, history.violations[:2], history.trace)
    print(options, dict(totals))


if __name__ == "__main__":
    main()
