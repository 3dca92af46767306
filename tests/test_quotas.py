"""Tests over real processes that teams get their quotas, counted over all proxies together."""

from tests.quotas_case import REFUSED, QuotasCase, quota

KEY = "key-of-mill-4711"


class QuotaTest(QuotasCase):
    """A team gets no more than its quota, wherever its requests arrive, and no less."""

    # Guards against teams that get whatever they ask for (issue 55).
    async def test_a_team_gets_its_quota_over_all_proxies_and_no_more(self) -> None:
        """Four times the quota arrives at four proxies."""
        await self.serve(quota("mill", KEY, 20, 10))
        sent = await self.send_steadily(KEY, 80, 8, *self.proxies)
        self.assert_within("mill", sent, 20, 10)
        self.assert_refusals_true(sent)
        statuses = [each.status for each in sent]
        self.assertIn(REFUSED, statuses)
        self.assertLessEqual(set(statuses), {200, REFUSED})
        self.assertGreaterEqual(statuses.count(200), 20 * 8 * 0.9)

    # Guards against a lowered quota that isn't in force (issue 55).
    async def test_a_lowered_quota_binds_a_window_later(self) -> None:
        """It binds once the window in which it was lowered has passed."""
        await self.serve(quota("mill", KEY, 60, 60))
        await self.change(2, quota("mill", KEY, 6, 4))
        await self.send_steadily(KEY, 60, 5, *self.proxies)
        sent = await self.send_steadily(KEY, 60, 6, *self.proxies)
        self.assert_within("mill", sent, 6, 4)

    async def test_what_is_below_the_quota_is_not_refused(self) -> None:
        """Requests come by turns at all proxies, then at one alone, then at another."""
        await self.serve(quota("mill", KEY, 20, 10))
        for proxies in (self.proxies, self.proxies[:1], self.proxies[1:2]):
            sent = await self.send_steadily(KEY, 15, 4, *proxies)
            self.assert_none_refused_below(sent, 20, 10)
