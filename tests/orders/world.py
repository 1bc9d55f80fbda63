"""Model of callers, homes and upstreams around the real ledger.

Every message is kept until a step delivers it, so any order, delay, loss and
repetition of sends can be played. A scheme says where orders are ruled on.
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
    """One incarnation of a home; a frozen one keeps its memory."""

    instance: str
    incarnation: int
    ledger: OrderLedger
    frozen: bool = False


@attrs.define(eq=False)
class Order:
    """What a caller wants to run once, under the key that it uses now."""

    name: str
    key: OrderKey | None = None
    runs: int = 0
    closed: set[OrderKey] = attrs.Factory(set)


@attrs.frozen(eq=False)
class Send:
    """A caller's send on its way to the process that will rule on it."""

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
    """The product's scheme: the home is named in the key."""

    def new_key(self, process, order):
        """Return a key for a new order, placed at `process`."""
        token = process.ledger.mint()
        return None if token is None else OrderKey(token, order.name)

    def target(self, model, entry, key):
        """Return the process that rules on a send, None if none is found."""
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
        """Rule on a send."""
        return process.ledger.begin(key, "order")


class ReusableKeys(HomeTokens):
    """Home tokens whose key may run after it was refused as not run."""

    def begin(self, process, key):
        entry = process.ledger._entry_by_key.get(key)
        if entry is not None and entry.state is ledger.OrderState.NOT_RUN:
            del process.ledger._entry_by_key[key]
        return process.ledger.begin(key, "order")


class HashOwner(HomeTokens):
    """The home is a hash of the caller's key over the entry's own list."""

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
    """Every entry dispatches what it gets."""

    def target(self, model, entry, key):
        return model.process_by_instance[entry]

    def begin(self, process, key):
        return ledger.Dispatch()


def _first_token(process):
    return HomeToken(process.instance, process.incarnation, 0)


class Model:
    """Plays steps; `fault` names the first broken promise."""

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
        """Play steps of (name, instance, number) until a promise breaks."""
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
        """Deliver one send to the process that rules on it."""
        send = self._pop_send(number)
        if send is None:
            return
        # A dead process answers nothing; the one in its place takes its sends.
        process = self.process_by_instance[send.process.instance]
        decision = self.scheme.begin(process, send.key)
        if isinstance(decision, ledger.Dispatch):
            self.running.append(Running(send.order, send.key, process))
            return
        denied = isinstance(decision, ledger.Deny)
        if denied and decision.reason not in UNKNOWN_REASONS:
            self._report_not_run(send.order, send.key)

    def run(self, instance, number):
        """Let an upstream run a dispatch, and its answer come back."""
        self._end(number, Outcome.RAN)

    def run_without_answer(self, instance, number):
        """Let an upstream run a dispatch whose answer is lost."""
        self._end(number, Outcome.UNKNOWN)

    def refuse_at_gate(self, instance, number):
        """Let a gate refuse a dispatch before any byte was sent."""
        self._end(number, Outcome.NOT_RUN)

    def refuse_early(self, instance, number):
        """Refuse a send at its home before the ledger is asked."""
        send = self._pop_send(number)
        if send is not None and send.process.ledger.close(send.key):
            self._report_not_run(send.order, send.key)

    def _pop_send(self, number):
        """Return a send that its process can take now, off the list."""
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
                self.fault = "ran after it was told not run"
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
        """Kill a home and start another incarnation in its place."""
        self._start(instance)

    def freeze(self, instance, number):
        """Stop a home; what it was sent stays in its buffers."""
        self.process_by_instance[instance].frozen = True

    def resume(self, instance, number):
        """Let a stopped home go on."""
        self.process_by_instance[instance].frozen = False

    def leave(self, instance, number):
        """Let a home start to leave."""
        self.process_by_instance[instance].ledger.leave()

    def refresh_view(self, instance, number):
        """Let an entry see every process."""
        for process in self.process_by_instance.values():
            record = self._record(process)
            self.view_by_entry[instance][process.instance] = record

    def drop_from_view(self, instance, number):
        """Cut an entry off from one instance."""
        other = INSTANCES[number % len(INSTANCES)]
        self.view_by_entry[instance].pop(other, None)

    def advance(self, instance, number):
        """Let time pass, up to more than a token's life."""
        self.clock.advance(number / 10 * TOKEN_LIFETIME_US / 1_000_000)
