"""No interleaving reports "not run" for a request whose bytes reached an upstream.

Random lists of steps choose the order in which messages arrive, upstreams answer or
fail, and links are lost. The same search must find each mechanism that is sabotaged.
"""

import attrs
import pytest
import structlog
from hypothesis import HealthCheck, Phase, find, given, settings
from hypothesis import strategies as st

from chicorychute.admission import queue as ranked_queue
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import Refused
from chicorychute.routing.attempts import Attempts, Unanswered
from chicorychute.services import bodies, entry, exchanges, gate
from tests.services.interleaved import QUEUE_MODULE, World

STEP_NAMES = (
    "deliver",
    "resume",
    "answer",
    "answer",
    "answer",
    "break_early",
    "break_late",
    "lose_upstream",
    "refuse",
    "cancel_request",
    "tick",
    "advance",
    "lose_link",
    "freeze",
    "recall",
    "recall",
)
FREQUENT_STEP_NAMES = (
    "start_lookup",
    "start_order",
    "make_progress",
    "make_progress",
    "connect",
    "connect",
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from((*FREQUENT_STEP_NAMES * 2, *STEP_NAMES)),
        st.integers(0, 11),
    ),
    min_size=40,
    max_size=120,
)
PROFILE = settings(
    max_examples=200,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def _drop(logger, method, event):
    raise structlog.DropEvent


def run_simulation(steps, sabotage=lambda patch: None):
    world = World()
    with pytest.MonkeyPatch.context() as patch:
        for module in (entry, exchanges):
            patch.setattr(module, "queue", QUEUE_MODULE)
        patch.setattr(gate, "is_listening", lambda url: world.listening)
        patch.setattr(bodies, "logger", structlog.wrap_logger(None, [_drop]))
        patch.setattr(ranked_queue, "QUEUE_LIMIT_PER_SLOT", 1)
        sabotage(patch)
        return world.run_steps(steps)


@PROFILE
@given(STEPS)
def test_not_run_is_reported_only_if_no_upstream_was_reached(steps):
    assert run_simulation(steps).violation == ""


def report_only_the_last_attempt(patch):
    def record_end(self, end):
        self._worst_outcome = (
            end.outcome if isinstance(end, Unanswered) else Outcome.RAN
        )

    patch.setattr(Attempts, "_record", record_end)


def report_timeout_as_not_run(patch):
    wait = exchanges.Exchanges.wait

    def wait_without_timeout(self, *args):
        reply = wait(self, *args)
        timed_out = isinstance(reply, Refused) and reply.reason is Reason.DEADLINE
        return attrs.evolve(reply, outcome=Outcome.NOT_RUN) if timed_out else reply

    patch.setattr(exchanges.Exchanges, "wait", wait_without_timeout)


def report_cancelled_send_as_not_run(patch):
    refused = Refused(Outcome.NOT_RUN, Reason.CANCELLED)
    patch.setattr(gate, "_refusal_of", lambda failure, call: refused)


def ignore_the_slot_limit(patch):
    patch.setattr(ranked_queue.UpstreamQueue, "_has_room", lambda self, ticket: True)


@pytest.mark.parametrize(
    "sabotage, violation",
    [
        (
            report_only_the_last_attempt,
            "reported as not run, but an upstream was reached",
        ),
        (report_timeout_as_not_run, "reported as not run, but an upstream was reached"),
        (
            report_cancelled_send_as_not_run,
            "reported as not run, but an upstream was reached",
        ),
        (ignore_the_slot_limit, "more requests than slots"),
    ],
)
def test_the_property_finds_each_broken_mechanism(sabotage, violation):
    assert find(
        STEPS,
        lambda steps: run_simulation(steps, sabotage).violation == violation,
        settings=settings(PROFILE, max_examples=1_000, phases=[Phase.generate]),
    )
