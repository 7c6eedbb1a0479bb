"""Open-loop load: each query is sent when it is due, even if earlier ones wait."""

import random
import time

import eventlet

from ..caller import Caller
from .measures import Measures
from .scenario import Phase

PHASE_GRACE_S = 2.0  # time beyond the deadline that the last answers may take


class LoadGenerator:
    """Sends searches to the entry VMs in turn, at random (Poisson) arrival times.

    Parameters
    ----------
    callers : list of Caller
        One client for each VM.
    body : dict
        Body of each search, with its ``deadline_ms``.
    seed : int
        Seed of the arrival times.
    """

    def __init__(self, callers: list[Caller], body: dict, seed: int):
        self.callers = callers
        self._body = body
        self._deadline_s = body["deadline_ms"] / 1000
        self._rng = random.Random(seed)
        self._sent_count = 0
        self._started_at = time.monotonic()

    def run(self, phases: tuple[Phase, ...]) -> list[Measures]:
        """Run phases in order and return the measures of each."""
        tasks: list = []
        measures = [self._run_phase(phase, tasks) for phase in phases]
        with eventlet.Timeout(self._deadline_s + PHASE_GRACE_S, False):
            for task in tasks:
                task.wait()
        return measures

    def _run_phase(self, phase: Phase, tasks: list) -> Measures:
        """Send the queries of a phase, each in a task that is added to `tasks`."""
        measures = Measures(seconds=phase.seconds)
        due_at = time.monotonic()
        end_at = due_at + phase.seconds
        while True:
            due_at += self._rng.expovariate(phase.rate)
            if due_at >= end_at:
                eventlet.sleep(max(0.0, end_at - time.monotonic()))
                return measures
            eventlet.sleep(max(0.0, due_at - time.monotonic()))
            measures.sent += 1
            tasks.append(eventlet.spawn(self._send, due_at, measures))

    def _send(self, due_at: float, measures: Measures) -> None:
        """Send one query and record its answer or error."""
        caller = self.callers[self._sent_count % len(self.callers)]
        self._sent_count += 1
        try:
            reply = caller.post("/v1/search", self._body)
        except Exception as error:
            measures.record_error(type(error).__name__, time.monotonic() - due_at)
            return
        latency = time.monotonic() - due_at
        if reply.status == 200:
            share = reply.body["coverage"]["share"]
            offset = due_at - self._started_at
            measures.record_answer(offset, latency, share, latency > self._deadline_s)
        else:
            measures.record_error(reply.body["error"]["code"], latency)
