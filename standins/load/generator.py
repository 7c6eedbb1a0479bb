"""Open-loop arrivals: each query is sent when it is due, whatever came before."""

import random
import time

import eventlet

from ..caller import Caller
from .measures import Measures
from .scenario import Phase

PHASE_GRACE_S = 2.0  # time after the last arrival for the last answers


class Generator:
    """Sends queries to entry VMs in turn.

    Parameters
    ----------
    callers : list of Caller
        One for each VM.
    body : dict
        Body of each search.
    seed : int
        Seed of the arrival times.
    """

    def __init__(self, callers: list[Caller], body: dict, seed: int):
        self.callers = callers
        self._body = body
        self._deadline = body["deadline_ms"] / 1000
        self._random = random.Random(seed)
        self._sent = 0
        self._started = time.monotonic()

    def run(self, phases: tuple[Phase, ...]) -> list[Measures]:
        """Run phases one after the other; returns the measures of each."""
        tasks: list = []
        found = [self._run_phase(phase, tasks) for phase in phases]
        with eventlet.Timeout(self._deadline + PHASE_GRACE_S, False):
            for task in tasks:
                task.wait()
        return found

    def _run_phase(self, phase: Phase, tasks: list) -> Measures:
        """Send the queries of a phase."""
        measures = Measures(seconds=phase.seconds)
        due = time.monotonic()
        end = due + phase.seconds
        while True:
            due += self._random.expovariate(phase.rate)
            if due >= end:
                eventlet.sleep(max(0.0, end - time.monotonic()))
                return measures
            eventlet.sleep(max(0.0, due - time.monotonic()))
            measures.sent += 1
            tasks.append(eventlet.spawn(self._send, due, measures))

    def _send(self, due: float, measures: Measures) -> None:
        """Send one query and count its answer."""
        caller = self.callers[self._sent % len(self.callers)]
        self._sent += 1
        try:
            reply = caller.post("/v1/search", self._body)
        except Exception as error:
            measures.note_error(type(error).__name__, time.monotonic() - due)
            return
        latency = time.monotonic() - due
        if reply.status == 200:
            share = reply.body["coverage"]["share"]
            at = due - self._started
            measures.note_answer(at, latency, share, latency > self._deadline)
        else:
            measures.note_error(reply.body["error"]["code"], latency)
