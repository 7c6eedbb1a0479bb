"""Tests that the page of proofs is up to date and that no promise lacks a proof."""

from testtools import TestCase

from .proofs import ROOT, find_proofs, write_page

PROMISES = {
    "one snapshot",
    "true coverage",
    "own answer",
    '"not run" is true',
    "at most once",
    "leaving targets",
    "planned stop",
    "tickets",
    "cut off",
    "extra load",
}


class TestPage(TestCase):
    """The page docs/PROOFS.md lists the markers of the tests."""

    def test_page_matches_the_tests(self):
        page = (ROOT / "docs" / "PROOFS.md").read_text()
        assert page == write_page(), "run python -m standins.prove --page"

    def test_every_promise_has_a_proof(self):
        assert {proof.promise for proof in find_proofs()} == PROMISES
