"""Model of callers, homes and upstreams around the real ledger.

Every message is stored until a step delivers it, so that sends can be reordered,
delayed, lost and repeated in any combination. A scheme chooses the process that
decides on an order.
"""

import attrs

from chicorychute.core.clock import ManualClock
from chicorychute.core.messages import MemberRecord, MemberStatus
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.orders import ledger
from chicorychute.orders.homes import NoHome, find_home
from chicorychute.orders.ledger import OrderLedger, StoredAnswer
from chicorychute.orders.token import TOKEN_LIFETIME_US, HomeToken, OrderKey

INSTANCES = ("a", "b", "c")
ANSWER = StoredAnswer(200, (), b"done")
UNKNOWN_REASONS = (Reason.HOME_LOST, Reason.KEY_EXPIRED)


@attrs.define(eq=False)
class Process:
    """One incarnation of a home; a frozen process keeps its ledger."""

    instance: str
    incarnation: int
    ledger: OrderLedger
    frozen: bool = False


@attrs.define(eq=False)
class Order:
    """Order that a caller wants to run once, with the key in use."""

    name: str
    key: OrderKey | None = None
    runs: int = 0
    closed: set[OrderKey] = attrs.Factory(set)


@attrs.frozen(eq=False)
class Send:
    """Send of a caller in transit to the process that will decide on it."""

    order: Order
    key: OrderKey
    process: Process | None


@attrs.frozen(eq=False)
class Running:
    """A dispatch that has not reached its upstream yet."""

    order: Order
    key: OrderKey
    process: Process


class HomeTokens:
    """Scheme of the product: the key names the home."""

    def new_key(self, process, order):
        """Return a key for a new order, placed at `process`."""
        token = process.ledger.mint()
        return None if token is None else OrderKey(token, order.name)

    def target(self, model, entry, key):
        """Return the process that decides on a send, None if none is found."""
        process = model.process_by_instance[entry]
        if process.ledger.owns(key):
            return process
        named = model.process_by_instance[key.home.instance]
        view = model.view_by_entry[entry].get(key.home.instance)
        match find_home(key, view, relayed=False):
            case NoHome():
                return None
        return named

    def begin(self, process, key):
        """Decide on a send."""
        return process.ledger.begin(key, "order")


class ReusableKeys(HomeTokens):
    """Home tokens whose key may run after it was refused as not run."""

    def begin(self, process, key):
        entry = process.ledger._entry_by_key.get(key)
        if entry is not None and entry.state is ledger.OrderState.NOT_RUN:
            del process.ledger._entry_by_key[key]
        return process.ledger.begin(key, "order")


class HashOwner(HomeTokens):
    """The home is chosen by a hash of the caller's key among the instances in view."""

    def new_key(self, process, order):
        return OrderKey(HomeToken("any", 0, 0), order.name)

    def target(self, model, entry, key):
        listed = sorted(model.view_by_entry[entry]) or [entry]
        owner = listed[sum(key.unique.encode()) % len(listed)]
        return model.process_by_instance[owner]

    def begin(self, process, key):
        new_token = process.ledger.mint()
        if new_token is None:
            return ledger.Deny(Reason.LEAVING)
        return process.ledger.begin(OrderKey(_first_token(process), key.unique), "o")


class NoMemory(HomeTokens):
    """Every entry dispatches each send that it receives."""

    def target(self, model, entry, key):
        return model.process_by_instance[entry]

    def begin(self, process, key):
        return ledger.Dispatch()


def _first_token(process):
    return HomeToken(process.instance, process.incarnation, 0)


class Model:
    """Plays steps; `fault` names the first violation of the property."""

    def __init__(self, scheme):
        self.scheme = scheme
        self.clock = ManualClock()
        self.fault = ""
        self.orders = [Order("order-0"), Order("order-1")]
        self.process_by_instance = {}
        self.view_by_entry = {name: {} for name in INSTANCES}
        self.sends = []
        self.running = []
        for name in INSTANCES:
            self._start(name)
        for name in INSTANCES:
            self.refresh_view(name, 0)

    def _start(self, instance):
        previous = self.process_by_instance.get(instance)
        incarnation = 1 if previous is None else previous.incarnation + 1
        order_ledger = OrderLedger(instance, incarnation, self.clock)
        self.process_by_instance[instance] = Process(
            instance, incarnation, order_ledger
        )

    def _record(self, process):
        return MemberRecord(
            process.instance,
            process.incarnation,
            0,
            MemberStatus.ALIVE,
            "",
            0,
            "",
            "",
            0,
            (),
        )

    def play(self, steps):
        """Play steps of (name, instance, number) until a fault is found."""
        for name, instance, number in steps:
            getattr(self, name)(instance, number)
            if self.fault:
                break
        return self

    def place(self, instance, number):
        """Send an order through an entry, with a new key if it has none."""
        order = self.orders[number % len(self.orders)]
        process = self.process_by_instance[instance]
        if process.frozen:
            return
        if order.key is None:
            order.key = self.scheme.new_key(process, order)
        if order.key is None:
            return
        target = self.scheme.target(self, instance, order.key)
        self.sends.append(Send(order, order.key, target))

    def decide(self, instance, number):
        """Deliver one send to the process that decides on it."""
        send = self._pop_send(number)
        if send is None:
            return
        # A dead process answers nothing; its successor receives the sends.
        process = self.process_by_instance[send.process.instance]
        decision = self.scheme.begin(process, send.key)
        if isinstance(decision, ledger.Dispatch):
            self.running.append(Running(send.order, send.key, process))
            return
        denied = isinstance(decision, ledger.Deny)
        if denied and decision.reason not in UNKNOWN_REASONS:
            self._report_not_run(send.order, send.key)

    def run(self, instance, number):
        """Let an upstream run a dispatched order and deliver its answer."""
        self._end(number, Outcome.RAN)

    def run_without_answer(self, instance, number):
        """Let an upstream run a dispatched order whose answer is lost."""
        self._end(number, Outcome.UNKNOWN)

    def refuse_at_gate(self, instance, number):
        """Let a gate refuse a dispatched order before any byte was sent."""
        self._end(number, Outcome.NOT_RUN)

    def refuse_early(self, instance, number):
        """Refuse a send at its home before the ledger decides, and close its key."""
        send = self._pop_send(number)
        if send is not None and send.process.ledger.close(send.key):
            self._report_not_run(send.order, send.key)

    def _pop_send(self, number):
        """Remove and return a send that its process can receive now."""
        if not self.sends:
            return None
        send = self.sends[number % len(self.sends)]
        if send.process is None or send.process.frozen:
            return None
        self.sends.remove(send)
        return send

    def _end(self, number, outcome):
        if not self.running:
            return
        running = self.running.pop(number % len(self.running))
        if outcome is not Outcome.NOT_RUN:
            running.order.runs += 1
            if running.order.runs > 1:
                self.fault = "ran twice"
            if running.key in running.order.closed:
                self.fault = "ran after it was reported as not run"
        process = running.process
        alive = self.process_by_instance[process.instance] is process
        if not alive or process.frozen or type(self.scheme) in (HashOwner, NoMemory):
            return
        match outcome:
            case Outcome.RAN:
                process.ledger.record_ran(running.key, ANSWER)
            case Outcome.NOT_RUN:
                process.ledger.record_not_run(running.key)
                self._report_not_run(running.order, running.key)
            case Outcome.UNKNOWN:
                process.ledger.record_unknown(running.key)

    def _report_not_run(self, order, key):
        order.closed.add(key)
        if order.key == key:
            order.key = None

    def kill(self, instance, number):
        """Kill a home and start its next incarnation."""
        self._start(instance)

    def freeze(self, instance, number):
        """Freeze a home; sends to it stay in its buffers."""
        self.process_by_instance[instance].frozen = True

    def resume(self, instance, number):
        """Resume a frozen home."""
        self.process_by_instance[instance].frozen = False

    def leave(self, instance, number):
        """Let a home start to leave."""
        self.process_by_instance[instance].ledger.leave()

    def refresh_view(self, instance, number):
        """Put the current record of every process into the view of an entry."""
        for process in self.process_by_instance.values():
            record = self._record(process)
            self.view_by_entry[instance][process.instance] = record

    def drop_from_view(self, instance, number):
        """Remove one instance from the view of an entry."""
        other = INSTANCES[number % len(INSTANCES)]
        self.view_by_entry[instance].pop(other, None)

    def advance(self, instance, number):
        """Advance the clock by 0 to 1.1 lifetimes of a token."""
        self.clock.advance(number / 10 * TOKEN_LIFETIME_US / 1_000_000)
