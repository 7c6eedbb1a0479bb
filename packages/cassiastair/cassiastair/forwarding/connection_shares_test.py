"""Tests of the VMs' shares in the connections of targets."""

from collections import Counter

from testtools import TestCase

from .connection_shares import ConnectionShares

DATA_CENTRES = ("dc0", "dc1", "dc2", "dc3")


class TestConnectionShares(TestCase):
    """Subsets of targets that many VMs choose without talking to each other."""

    def make(self, number: int, vm_count: int, limit: int) -> ConnectionShares:
        """Return the shares of one of several VMs in four data centres."""
        return ConnectionShares(
            f"vm{number}",
            DATA_CENTRES[number % 4],
            lambda service: limit,
            lambda: vm_count,
            lambda data_centre: vm_count // 4,
        )

    def find_subsets(
        self, vm_count: int, limit: int, shards: int = 12
    ) -> dict[int, set[str]]:
        """Return the targets that each VM keeps; three for each shard."""
        return {
            number: {
                f"s{shard}.{replica}"
                for shard in range(shards)
                for replica in range(3)
                if shares.keeps(
                    f"s{shard}.{replica}", f"s{shard}", DATA_CENTRES[replica]
                )
            }
            for number in range(vm_count)
            for shares in [self.make(number, vm_count, limit)]
        }

    def test_targets_of_few_vms_are_all_kept(self):
        shares = self.make(0, vm_count=7, limit=26)
        assert shares.keeps("s0.1", "s0", "dc1")
        assert shares.limit("s0") == 3

    def test_few_targets_get_more_connections_than_they_accept(self):
        """Hundreds of VMs keep more connections than a target accepts in rare cases.

        The VMs decide independently, so the number of connections of a target is
        random. At 5,200 VMs each VM keeps only one target in a hundred.
        """
        for vm_count, limit in ((60, 52), (71, 52), (300, 52), (5200, 52)):
            subsets = self.find_subsets(vm_count, limit, shards=8)
            kept = Counter(name for subset in subsets.values() for name in subset)
            assert sum(kept.values()) <= 0.95 * limit * 24
            assert sum(n > limit for n in kept.values()) <= 2, kept

    def test_a_vm_keeps_the_targets_of_its_data_centre_if_there_is_room(self):
        subsets = self.find_subsets(60, 52)
        for number in range(0, 60, 4):
            assert {f"s{shard}.0" for shard in range(12)} <= subsets[number]

    def test_most_shards_have_two_kept_targets(self):
        subsets = self.find_subsets(60, 52, shards=30)
        kept = [
            sum(f"s{shard}.{replica}" in subset for replica in range(3))
            for subset in subsets.values()
            for shard in range(30)
        ]
        assert sum(n >= 2 for n in kept) >= 0.75 * len(kept)
        assert sum(n >= 1 for n in kept) >= 0.95 * len(kept)

    def test_a_vm_that_joins_changes_few_decisions(self):
        before = self.find_subsets(60, 52)
        after = self.find_subsets(61, 52)
        changed = sum(len(before[n] ^ after[n]) for n in before)
        assert changed <= 0.05 * sum(len(subset) for subset in before.values())

    def test_decisions_follow_the_number_of_vms(self):
        count = 7
        shares = ConnectionShares(
            "vm1", "dc0", lambda service: 26, lambda: count, lambda dc: 2
        )
        names = [f"t{number}" for number in range(100)]
        assert all(shares.keeps(name, "s", "dc1") for name in names)
        count = 300
        shares.forget_decisions()
        assert sum(shares.keeps(name, "s", "dc1") for name in names) < 30
