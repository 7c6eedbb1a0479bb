"""Tests of the losses that are read from log lines."""

import json
import tempfile
from pathlib import Path

from testtools import TestCase

from .exit_status import ExitStatus
from .losses import LATE, NO_ANSWER, find_losses, show_losses


def make_record(event: str, request: str, time: float = 100.0, **fields) -> dict:
    """Return a log record of one VM."""
    common = {"time": time, "vm": "v", "event": event, "request": request}
    return common | fields


def make_failure(request: str, service: str, reason: str) -> dict:
    """Return the record of a failed send."""
    return make_record("send failed", request, service=service, reason=reason)


def make_partial(request: str, missing: list[str], count: int) -> dict:
    """Return the record of an answer without some of 20 parts."""
    return make_record(
        "answered in part",
        request,
        route="full",
        missing=missing,
        missing_count=count,
        shards=20,
    )


class TestLosses(TestCase):
    """Losses of single requests, and their tables."""

    def sum_by_cause(self, records: list[dict]) -> dict[str, float]:
        """Return the lost shares by cause."""
        sums: dict[str, float] = {}
        for loss in find_losses(records):
            sums[loss.cause] = round(sums.get(loss.cause, 0.0) + loss.amount, 6)
        return sums

    def test_missing_parts_lose_by_the_failures_of_their_shards(self):
        records = [
            make_failure("r", "a", "RefusedFailure: status 503"),
            make_partial("r", ["a", "b"], 2),
        ]
        half = round((1 - 0.9**2) / 2, 6)
        assert self.sum_by_cause(records) == {
            "part left out: refused with status 503": half,
            f"part left out: {NO_ANSWER}": half,
        }

    def test_late_answer_in_part_loses_both_once(self):
        late = make_record("answered late", "r", route="full")
        losses = self.sum_by_cause([make_partial("r", ["a"], 10), late])
        assert losses[LATE] == round(0.9 * 0.25, 6)
        assert round(sum(losses.values()), 6) == round(1 - 0.1 * 0.25, 6)

    def test_request_that_was_not_served_loses_all_of_itself(self):
        refused = make_record(
            "not served",
            "r",
            route="one",
            code="no_target",
            outcome="not_run",
            reason="3 of 20 shards with room under their limits, needed 18",
        )
        assert self.sum_by_cause([refused]) == {
            "refused at once: no room under limits": 1.0
        }
        failed = refused | {"request": "s", "code": "run_unknown", "outcome": "unknown"}
        failures = [
            make_failure("s", "a", "BrokenFailure: reset"),
            make_failure("s", "b", "status 504"),
        ]
        assert self.sum_by_cause([failed, *failures]) == {
            "run_unknown: BrokenFailure": 0.5,
            "run_unknown: status 504": 0.5,
        }

    def test_the_reason_for_which_a_send_was_not_made_is_part_of_the_cause(self):
        failure = make_failure("r", "a", "BadAnswerFailure: garbled")
        refused = make_record(
            "not served", "r", route="one", code="run_unknown", outcome="unknown"
        )
        lost = self.sum_by_cause([failure | {"no_retry": "budget"}, refused])
        assert lost == {"run_unknown: BadAnswerFailure, no retry: budget": 1.0}

    def test_the_reason_for_which_a_shard_got_no_hedge_is_part_of_the_cause(self):
        partial = make_partial("r", ["a", "b"], 2) | {"no_hedge": {"b": "budget"}}
        assert set(self.sum_by_cause([partial])) == {
            f"part left out: {NO_ANSWER}",
            f"part left out: {NO_ANSWER}, no hedge: budget",
        }

    def test_rows_of_each_table_add_up_to_the_same_sum(self):
        records = [
            make_failure("r", "a", "status 504"),
            make_partial("r", ["a"], 4),
            make_record("answered late", "s", 108.0, route="one"),
        ]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            lines = [f"12.3 v {json.dumps(record)}" for record in records]
            path.write_text("\n".join(lines))
            report = show_losses(str(path), 5.0)
        total = report.document["total"]
        for table in ("by_route", "by_second"):
            lost = sum(row["lost"] for row in report.document[table])
            assert round(lost - total, 9) == 0.0
        assert {row["group"] for row in report.document["by_second"]} == {0.0, 5.0}

    def test_file_without_losses_is_reported(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("no record\n")
            assert show_losses(str(path), 5.0).status == ExitStatus.NOT_FOUND
