"""The encoding of messages, apart from every decision."""

from cowslipvane.wire._codec import (
    Malformed,
    Message,
    decode,
    decode_as,
    encode,
    encode_plain,
    register,
)
from cowslipvane.wire._forms import (
    FaultForm,
    OutcomeForm,
    ResourceForm,
    fault_forms,
    outcome_form,
    read_change,
    resource_form,
)
from cowslipvane.wire._group_forms import GroupForm, MemberForm, group_form, read_group_change
from cowslipvane.wire._link import (
    Link,
    LinkClosed,
    LinkIdentity,
    Traffic,
    connect,
    link_identity,
    unnamed_identity,
)

__all__ = [
    "FaultForm",
    "GroupForm",
    "MemberForm",
    "group_form",
    "read_group_change",
    "OutcomeForm",
    "ResourceForm",
    "fault_forms",
    "outcome_form",
    "read_change",
    "resource_form",
    "unnamed_identity",
    "Link",
    "LinkClosed",
    "LinkIdentity",
    "Malformed",
    "Message",
    "Traffic",
    "connect",
    "decode",
    "decode_as",
    "encode",
    "encode_plain",
    "link_identity",
    "register",
]
