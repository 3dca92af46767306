"""Access: the keys of teams, and whether a request may pass and for which team."""

from cowslipvane.access._decision import (
    Access,
    Admitted,
    Anonymous,
    Denied,
    Inherited,
    KeyFault,
    KeyUse,
    OfTeam,
    Unchecked,
    decide_access,
    key_of,
    team_of,
)
from cowslipvane.access._keys import (
    MAX_KEY_CHARACTERS,
    NoKey,
    OddKey,
    PresentedKey,
    ShownKey,
    is_key,
    key_digest,
    read_key,
)
from cowslipvane.access._teams import TeamKeys, shared_keys

__all__ = [
    "MAX_KEY_CHARACTERS",
    "Access",
    "Admitted",
    "Anonymous",
    "Denied",
    "Inherited",
    "KeyFault",
    "KeyUse",
    "NoKey",
    "OddKey",
    "OfTeam",
    "PresentedKey",
    "ShownKey",
    "TeamKeys",
    "Unchecked",
    "decide_access",
    "is_key",
    "key_digest",
    "key_of",
    "read_key",
    "shared_keys",
    "team_of",
]
