"""JSON forms of the group of replicas."""

from __future__ import annotations

from typing import Any, TypedDict

from cowslipvane.replica import Add, Group, GroupChange, Remove, Replace, Voter
from cowslipvane.types import Address, HostName, ReplicaId


class MemberForm(TypedDict):
    """A member of the group."""

    host: str
    address: str
    replica_id: str


class GroupForm(TypedDict):
    """The group that is in force."""

    voters: list[MemberForm]
    learners: list[MemberForm]


def group_form(group: Group) -> GroupForm:
    """Return a group as JSON."""
    return GroupForm(
        voters=[_member_form(voter) for voter in group.voters],
        learners=[_member_form(learner) for learner in group.learners],
    )


def read_group_change(form: Any) -> GroupChange:
    """Parse a group change; raise ValueError or KeyError if the form is not one."""
    match form:
        case {"change": "add"}:
            return Add(learner=_read_member(form))
        case {"change": "replace"}:
            return Replace(learner=_read_member(form))
        case {"change": "remove", "host": str(host)}:
            return Remove(host=HostName(host))
        case _:
            raise ValueError("give change: add, replace or remove, and host")


def _member_form(member: Voter) -> MemberForm:
    """Return a member as JSON."""
    return MemberForm(host=member.host, address=str(member.address), replica_id=member.replica_id)


def _read_member(form: Any) -> Voter:
    """Parse a member."""
    replica_id = ReplicaId(str(form["replica_id"]))
    if not replica_id:
        raise ValueError("replica_id is empty; 'cowslipvane replica join' prints it")
    return Voter(HostName(str(form["host"])), Address.parse(form["address"]), replica_id)
