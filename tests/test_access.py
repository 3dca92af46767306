"""Tests of reading keys, of deciding by them, and of the fields that go on to upstreams."""

import unittest
from typing import Any

from cowslipvane.access import (
    MAX_KEY_CHARACTERS,
    Access,
    Admitted,
    Anonymous,
    Denied,
    Inherited,
    KeyUse,
    NoKey,
    OddKey,
    OfTeam,
    PresentedKey,
    ShownKey,
    TeamKeys,
    Unchecked,
    decide_access,
    key_digest,
    key_of,
    read_key,
    team_of,
)
from cowslipvane.call import KEY_FIELD, HeaderNames, end_to_end_headers
from cowslipvane.types import Header, KeyDigest, TeamName

KEY = "c0ffee-Key_1.~+/=="
UNKNOWN_KEY = "another"
TEAM, PARENT = TeamName("mill"), TeamName("bakery")
KEYS = TeamKeys(digests={TEAM: (key_digest(KEY),)})
NAMES = HeaderNames(team="Tenant", origin_service="Caller-Service")


class ReadKeyTest(unittest.TestCase):
    """What callers send in the Authorization field."""

    # Guards against 401 for a key that is written in another of the forms that RFC 9110 allows.
    def test_every_spelling_of_a_bearer_key_is_read(self) -> None:
        """The scheme's case, the number of spaces and blanks around the value don't matter."""
        shown = ShownKey(digest=key_digest(KEY))
        for value in ("Bearer {}", "bearer {}", "BEARER {}", "bEaReR   {}", " \tBearer {}\t "):
            self.assertEqual(read_key([value.format(KEY)]), shown, value)

    # Guards against a request that runs for the team of a key that another process reads otherwise.
    def test_anything_else_is_odd(self) -> None:
        """There is no key, no scheme or another one, two keys, or other characters."""
        odd = (
            *("", " ", "Bearer", "Bearer ", KEY, f"Bearer{KEY}", f"Bearer\t{KEY}"),
            *(f"Basic {KEY}", f"Digest {KEY}", f"X-Bearer {KEY}", f"Bearer Bearer {KEY}"),
            *(f"Bearer {KEY} {KEY}", f"Bearer {KEY}, Bearer {KEY}", f"Bearer {KEY}\nX: y"),
            *(f"Bearer {KEY}é", f"Bearer {KEY}\udce9", f"Bearer {KEY}\x7f", f"Bearer {KEY}\x00"),
            # A K and an S of other alphabets, and blanks that aren't those of HTTP.
            *(f"Bearer \u212a{KEY}", f"Bearer \u017f{KEY}", f"Bearer {KEY}\u00a0"),
            *(f"\u2003Bearer {KEY}", f"Bearer {KEY}\x1c", f"Bearer {KEY}\x85"),
        )
        for value in odd:
            self.assertEqual(read_key([value]), OddKey(), ascii(value))

    # Guards against one proxy that takes the first of two keys, and another that takes the last.
    def test_two_fields_are_odd(self) -> None:
        """So are two with the same key, and one that is empty beside a good one."""
        good = f"Bearer {KEY}"
        for values in ([good, good], [good, f"Bearer {UNKNOWN_KEY}"], [good, ""], ["", good]):
            self.assertEqual(read_key(values), OddKey(), values)
        self.assertEqual(read_key([]), NoKey())

    # Guards against digests of megabytes that a caller may have computed.
    def test_length_of_a_key_is_limited(self) -> None:
        """The longest key is read, and one that is a character longer isn't."""
        longest = "k" * MAX_KEY_CHARACTERS
        self.assertEqual(read_key([f"Bearer {longest}"]), ShownKey(digest=key_digest(longest)))
        for key in (longest + "k", longest * 1000):
            self.assertEqual(read_key([f"Bearer {key}"]), OddKey())


class DigestTest(unittest.TestCase):
    """The digests that stand for keys outside the operator's document."""

    # Guards against a key that can be read from a message, an event or a debug report.
    def test_digest_is_not_the_key(self) -> None:
        """It has one form and length for all keys, also for one that is a digest itself."""
        for key in ("a", KEY, "0" * 32, key_digest(KEY), "k" * MAX_KEY_CHARACTERS):
            digest = key_digest(key)
            self.assertRegex(digest, "^[0-9a-f]{32}$")
            self.assertNotEqual(digest, key)

    # Guards against processes of two builds that don't know each other's digests.
    def test_digest_is_the_same_in_every_process(self) -> None:
        """It depends on the key alone, each character of which counts."""
        self.assertEqual(key_digest(KEY), KEY_DIGEST)
        self.assertEqual(len({key_digest(key) for key in (KEY, KEY.lower(), KEY + "=")}), 3)


class CountingDigest(str):
    """Counts how often it is hashed and compared."""

    def __init__(self, _: str) -> None:
        self.hashed = self.compared = 0

    def __hash__(self) -> int:
        """Count, and return the hash of the text."""
        self.hashed += 1
        return str.__hash__(self)

    def __eq__(self, other: Any) -> bool:
        """Count, and return whether the texts are equal."""
        self.compared += 1
        return str.__eq__(self, other)


class TeamKeysTest(unittest.TestCase):
    """The index of the keys of one version."""

    def keys(self, count: int) -> TeamKeys:
        """Return the keys of some teams, two for each."""
        return TeamKeys(
            digests={
                TeamName(f"team-{number}"): (
                    key_digest(f"first-{number}"),
                    key_digest(f"second-{number}"),
                )
                for number in range(count)
            }
        )

    # Guards against a request that takes the longer the more teams there are.
    def test_cost_of_a_look_up_is_independent_of_the_number_of_keys(self) -> None:
        """It is one hash, and one comparison if there is such a key."""
        for count in (1, 5, 5000):
            keys = self.keys(count)
            for key, holder, compared in (("second-0", "team-0", 1), (UNKNOWN_KEY, None, 0)):
                digest = CountingDigest(key_digest(key))
                self.assertEqual(keys.holder(KeyDigest(digest)), holder)
                self.assertEqual((digest.hashed, digest.compared), (1, compared), count)

    # Guards against a new index of 10,000 teams for each version that changes a route.
    def test_unchanged_keys_share_their_index(self) -> None:
        """A version that changes a key has an index of its own."""
        before = self.keys(5)
        digests = dict(before._digests)
        self.assertIs(TeamKeys(digests=digests, previous=before)._holders, before._holders)
        moved = {**digests, TEAM: digests.pop(TeamName("team-4"))}
        after = TeamKeys(digests=moved, previous=before)
        self.assertEqual(after.holder(key_digest("first-4")), TEAM)
        self.assertEqual(before.holder(key_digest("first-4")), "team-4")

    def test_withdrawn_key_has_no_holder(self) -> None:
        """The team's other key goes on."""
        digests = dict(self.keys(2)._digests)
        digests[TeamName("team-1")] = digests[TeamName("team-1")][1:]
        keys = TeamKeys(digests=digests, previous=self.keys(2))
        self.assertIsNone(keys.holder(key_digest("first-1")))
        self.assertEqual(keys.holder(key_digest("second-1")), "team-1")


class DecisionTest(unittest.TestCase):
    """Whether a request passes, and for which team."""

    # Guards against UNASKED: a request that runs for a team whose key it doesn't show, and one that
    # runs without a key where one is needed.
    def test_decision_table(self) -> None:
        """Each use of keys with each that may be shown, for a nested call and any other."""
        known, unknown = (ShownKey(digest=key_digest(key)) for key in (KEY, UNKNOWN_KEY))
        of_team = OfTeam(team=TEAM, digest=known.digest)
        inherited = Inherited(team=PARENT)
        missing, unreadable = Denied(fault="missing"), Denied(fault="unreadable")
        # For each: the decision for a nested call of a request of another team, and for any other.
        table: dict[tuple[KeyUse, PresentedKey], tuple[Access, Access]] = {
            ("ignored", NoKey()): (Unchecked(), Unchecked()),
            ("ignored", OddKey()): (Unchecked(), Unchecked()),
            ("ignored", unknown): (Unchecked(), Unchecked()),
            ("ignored", known): (Unchecked(), Unchecked()),
            ("optional", NoKey()): (inherited, Anonymous()),
            ("optional", OddKey()): (inherited, Anonymous()),
            ("optional", unknown): (
                Inherited(team=PARENT, digest=unknown.digest),
                Anonymous(digest=unknown.digest),
            ),
            ("optional", known): (of_team, of_team),
            ("required", NoKey()): (missing, missing),
            ("required", OddKey()): (unreadable, unreadable),
            ("required", unknown): (Denied(fault="unknown"), Denied(fault="unknown")),
            ("required", known): (of_team, of_team),
        }
        for (use, presented), (nested, other) in table.items():
            with self.subTest(use=use, presented=presented):
                self.assertEqual(decide_access(use, presented, KEYS, parent_team=PARENT), nested)
                self.assertEqual(decide_access(use, presented, KEYS), other)

    def test_team_and_key_of_each_decision(self) -> None:
        """A key that no team has is told as well, since a newer version may know it."""
        digest = key_digest(KEY)
        expected: dict[Access, tuple[TeamName | None, KeyDigest | None]] = {
            Unchecked(): (None, None),
            Anonymous(): (None, None),
            Denied(fault="unknown"): (None, None),
            Anonymous(digest=digest): (None, digest),
            Inherited(team=PARENT): (PARENT, None),
            Inherited(team=PARENT, digest=digest): (PARENT, digest),
            OfTeam(team=TEAM, digest=digest): (TEAM, digest),
        }
        for access, team_and_key in expected.items():
            self.assertEqual((team_of(access), key_of(access)), team_and_key)


class FieldsTest(unittest.TestCase):
    """The fields with the key and the team, on the way to an upstream."""

    READING: tuple[Admitted, ...] = (
        Anonymous(),
        Inherited(team=PARENT),
        OfTeam(team=TEAM, digest=key_digest(KEY)),
    )

    def forwarded(self, access: Admitted, *fields: tuple[str, str]) -> dict[str, list[str]]:
        """Return what an owner receives of a caller's fields, by name in lower case."""
        headers = end_to_end_headers([*fields, ("X-Mark", "kept")])
        values: dict[str, list[str]] = {}
        for name, value in NAMES.headers_to_owner(headers, "id-1", "stock", access):
            values.setdefault(name.lower(), []).append(value)
        self.assertEqual(values["x-mark"], ["kept"])
        return values

    # Guards against UNASKED: an upstream that gets the key, or a team that the caller made up.
    def test_key_and_team_of_a_caller_are_dropped_in_every_spelling(self) -> None:
        """The upstream gets the team that was decided, once."""
        for access in self.READING:
            for spell in (str, str.lower, str.upper, str.swapcase):
                fields = [(spell(KEY_FIELD), f"Bearer {KEY}"), (spell("Tenant"), "forged")]
                values = self.forwarded(access, *fields, *fields)
                self.assertNotIn("authorization", values)
                team = team_of(access)
                self.assertEqual(values.get("tenant", []), [] if team is None else [team])

    # Guards against a caller that names itself a team before there are teams, or on a route of
    # another host that has none.
    def test_team_of_a_caller_is_dropped_where_keys_are_ignored(self) -> None:
        """The field with the key passes like any other."""
        values = self.forwarded(Unchecked(), ("tEnAnT", "forged"), ("authorization", "Basic eA=="))
        self.assertNotIn("tenant", values)
        self.assertEqual(values["authorization"], ["Basic eA=="])

    # Guards against a caller that has the proxy's own field dropped as one of a single hop.
    def test_connection_field_does_not_drop_the_team(self) -> None:
        """The fields that it names are dropped, and the team is added after that."""
        for access in self.READING:
            names = ("Connection", f"{KEY_FIELD}, tenant, close")
            values = self.forwarded(access, names, (KEY_FIELD, f"Bearer {KEY}"))
            self.assertNotIn("authorization", values)
            self.assertEqual(values.get("tenant"), [team] if (team := team_of(access)) else None)

    # Guards against a worker that gets two values, the first of which is its caller's.
    def test_worker_gets_the_team_unchanged(self) -> None:
        """The owner adds its own fields behind those of the entry proxy."""
        headers = NAMES.headers_to_owner((), "id-1", "stock", Inherited(team=PARENT))
        sent = NAMES.headers_to_worker(headers, 100, "i-1")
        self.assertEqual([value for name, value in sent if name == "Tenant"], [PARENT])
        self.assertIn(Header("Caller-Service", "stock"), sent)


# Computed on the commit that introduced digests of keys.
KEY_DIGEST = "6bf6c872570ff3da1adcbe33b71ca34f"


if __name__ == "__main__":
    unittest.main()
