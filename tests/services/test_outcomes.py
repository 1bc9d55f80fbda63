"""No interleaving tells "not run" of a request whose bytes reached an upstream."""

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
    "lose",
    "refuse",
    "hang_up",
    "tick",
    "advance",
    "cut",
    "freeze",
    "recall",
    "recall",
)
COMMON = ("place_lookup", "place_order", "flow", "flow", "connect", "connect")
STEPS = st.lists(
    st.tuples(
        st.sampled_from((*COMMON * 2, *STEP_NAMES)),
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


def played(steps, broken=lambda patch: None):
    world = World()
    with pytest.MonkeyPatch.context() as patch:
        for module in (entry, exchanges):
            patch.setattr(module, "queue", QUEUE_MODULE)
        patch.setattr(gate, "is_listening", lambda url: world.listening)
        patch.setattr(bodies, "logger", structlog.wrap_logger(None, [_drop]))
        patch.setattr(ranked_queue, "QUEUE_LIMIT_PER_SLOT", 1)
        broken(patch)
        return world.play(steps)


@PROFILE
@given(STEPS)
def test_not_run_is_told_only_where_no_upstream_was_reached(steps):
    assert played(steps).fault == ""


def tell_the_last_attempt(patch):
    def note(self, end):
        self._worst_outcome = (
            end.outcome if isinstance(end, Unanswered) else Outcome.RAN
        )

    patch.setattr(Attempts, "_record", note)


def tell_silence_as_not_run(patch):
    wait = exchanges.Exchanges.wait

    def broken(self, *args):
        reply = wait(self, *args)
        silent = isinstance(reply, Refused) and reply.reason is Reason.DEADLINE
        return attrs.evolve(reply, outcome=Outcome.NOT_RUN) if silent else reply

    patch.setattr(exchanges.Exchanges, "wait", broken)


def tell_a_cancelled_send_as_not_run(patch):
    refused = Refused(Outcome.NOT_RUN, Reason.CANCELLED)
    patch.setattr(gate, "_refusal_of", lambda failure, call: refused)


def run_beside_a_full_upstream(patch):
    patch.setattr(ranked_queue.UpstreamQueue, "_has_room", lambda self, ticket: True)


@pytest.mark.parametrize(
    "broken, fault",
    [
        (tell_the_last_attempt, "told not run, but an upstream was reached"),
        (tell_silence_as_not_run, "told not run, but an upstream was reached"),
        (tell_a_cancelled_send_as_not_run, "told not run, but an upstream was reached"),
        (run_beside_a_full_upstream, "more requests than slots"),
    ],
)
def test_the_property_finds_each_broken_mechanism(broken, fault):
    assert find(
        STEPS,
        lambda steps: played(steps, broken).fault == fault,
        settings=settings(PROFILE, max_examples=1_000, phases=[Phase.generate]),
    )
