"""Tests of the supervision of tasks."""

from unittest import mock

from testtools import TestCase

from .tasks import TASK_RESTART_S, run_supervised


class TestRunSupervised(TestCase):
    """Tasks that an error ends, and tasks that return."""

    def test_a_task_that_an_error_ended_is_started_again(self):
        task = mock.Mock(side_effect=[ValueError("odd"), KeyError("k"), "done"])
        task.__qualname__ = "read"
        report = mock.Mock()
        with mock.patch("eventlet.sleep") as sleep:
            assert run_supervised(task, 7, report=report) == "done"
        assert task.call_args_list == [mock.call(7)] * 3
        assert [call.args[0] for call in report.call_args_list] == ["read", "read"]
        assert sleep.call_args_list == [mock.call(TASK_RESTART_S)] * 2
