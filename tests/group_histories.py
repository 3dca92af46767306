"""Random histories of a simulated group, through kills, cuts, lost power and lost disks.

Run as a program, it plays many seeds and prints those that fail.
"""

import argparse
from collections import Counter

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


class History:
    """One random history, with the machines that are set up and the faults so far."""

    def __init__(self, *, seed: int, size: int) -> None:
        self.group = SimulatedGroup(seed=seed, founders=3)
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
        match rng.choice(
            ("kill", "kill all", "power", "power all", "disk", "cut", "behind", "new")
        ):
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
                self.note(f"disk {host}")
                group.lose_disk(host)
                self.run(rng.uniform(0, 2))
                group.start(host)
                self.run(CATCH_UP)
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
                group.add_machine()
                self.run(CATCH_UP)
        self.run(rng.uniform(0, 2))

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
        """Inject the final fault, and check what is read back."""
        hosts = sorted(self.group.hosts)
        lost = self.rng.choice(hosts)
        self.run(self.rng.uniform(0.005, 0.4))
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


def play(seed: int, size: int) -> History:
    """Play one history to its end, or until something is wrong."""
    history = History(seed=seed, size=size)
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
    options = parser.parse_args()
    totals: Counter[str] = Counter()
    for seed in range(options.first, options.first + options.seeds):
        history = play(seed, options.size)
        totals["accepted"] += len(history.group.accepted)
        totals["faults"] += len(history.trace)
        if history.violations:
            totals["failed"] += 1
            print(seed, history.violations[:2], history.trace)
    print(options, dict(totals))


if __name__ == "__main__":
    main()
