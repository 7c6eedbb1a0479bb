"""Runs only the tests marked as proofs and prints promise, failure and verdict."""

import sys

import pytest

from .proofs import ROOT, Proof, find_proofs, write_page


class OutcomeRecorder:
    """Pytest plugin that records the outcome of each test by its node id."""

    def __init__(self):
        self.outcomes: dict[str, str] = {}

    def pytest_runtest_logreport(self, report) -> None:
        """Record a failure in any phase, otherwise the outcome of the call."""
        if report.failed or report.when == "call":
            previous = self.outcomes.get(report.nodeid)
            if previous != "failed":
                self.outcomes[report.nodeid] = report.outcome


def main() -> int:
    """Run the proofs, or write the page with ``--page``; return the exit status."""
    if "--page" in sys.argv:
        (ROOT / "docs" / "PROOFS.md").write_text(write_page())
        return 0
    proofs = find_proofs()
    recorder = OutcomeRecorder()
    tests = sorted({proof.test for proof in proofs})
    status = pytest.main(["-q", "--no-header", *tests], plugins=[recorder])
    print_table(proofs, recorder.outcomes)
    return int(status)


def print_table(proofs: list[Proof], outcomes: dict[str, str]) -> None:
    """Print one line for each proof with the outcome of its test."""
    width = max(len(proof.failure) for proof in proofs)
    for proof in proofs:
        verdict = outcomes.get(proof.test, "not run")
        print(f"{proof.promise:<18} {proof.failure:<{width}} {verdict}")


if __name__ == "__main__":
    sys.exit(main())
