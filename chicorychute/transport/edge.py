"""HTTP server for callers: a WSGI application mounted in CherryPy's tree."""

import http.client
from collections.abc import Callable, Iterable

import attrs
import cherrypy
import structlog
from cherrypy.process.servers import ServerAdapter

from chicorychute.core.clock import Clock
from chicorychute.core.lines import is_visible_ascii
from chicorychute.core.outcomes import Outcome, Reason
from chicorychute.pipeline.values import (
    Answer,
    AnswerBroken,
    Handler,
    Refused,
    Request,
)
from chicorychute.transport.answer_body import AnswerBody
from chicorychute.transport.callers import CallerWatch
from chicorychute.transport.dialect import Dialect
from chicorychute.transport.edge_connections import MAX_BUFFERED_BYTES, EdgeHttpServer
from chicorychute.transport.edge_exchange import EdgeConnection, ExchangeTurn
from chicorychute.transport.edge_request import (
    ABORT_DETAILS,
    EdgeGateway,
    EdgeRequest,
)
from chicorychute.transport.intake import TooLarge

# Applies within a request, within an answer and between two requests.
IDLE_TIMEOUT_S = 10.0
# The memory limit admits at least this many bodies of the largest size at a time.
MIN_BUFFERED_BODY_COUNT = 4
BODILESS_STATUSES = frozenset({204, 304})

logger = structlog.get_logger()


def _ignore(reason: Reason) -> None:
    """Ignore a refusal."""


class EdgeApplication:
    """WSGI application that passes callers' requests to the pipeline.

    Parameters
    ----------
    handle : callable
        First handler of the pipeline.
    home : callable
        Returns the token under which orders may be placed here.
    clock : Clock
        Gives the time at which a request was received.
    max_body_bytes : int
        Size limit of a request's body.
    serving : callable
        Returns False once the daemon leaves: answers then name no home and ask
        callers to close their connections.
    on_refusal : callable, optional
        Called with the reason of each request refused before the pipeline.
    callers : CallerWatch, optional
        Cancels the requests of callers that have disconnected.
    dialect : Dialect, optional
        Names of the headers that callers send and get.
    """

    def __init__(
        self,
        handle: Handler,
        home: Callable[[], str],
        clock: Clock,
        max_body_bytes: int,
        serving: Callable[[], bool] = lambda: True,
        on_refusal: Callable[[Reason], None] = _ignore,
        callers: CallerWatch | None = None,
        dialect: Dialect | None = None,
    ):
        self.dialect = Dialect() if dialect is None else dialect
        self._serving = serving
        self._callers = CallerWatch() if callers is None else callers
        self._handle = handle
        self._home = home
        self.clock = clock
        self.max_body_bytes = max_body_bytes
        self.on_refusal = on_refusal

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Answer one request."""
        received_s = self.clock.monotonic()
        edge_request: EdgeRequest = environ["chute.request"]
        try:
            request = self._parse_request(environ, received_s)
        except (ValueError, TooLarge) as error:
            edge_request.abandon_body()
            refused = attrs.evolve(
                _refusal_for(error, edge_request.conn.abort_reason),
                outcome=edge_request.refusal_outcome,
            )
            self.on_refusal(refused.reason)
            return self._refuse(refused, environ, start_response)
        edge_request.mark_dispatched()
        try:
            with self._callers.watching(edge_request.conn.socket, request.scope):
                reply = self._handle(request)
        except Exception:
            logger.exception("edge: request handler raised an exception")
            reply = Refused(Outcome.UNKNOWN, Reason.INTERNAL)
        match reply:
            case Refused() as refused:
                return self._refuse(refused, environ, start_response)
            case Answer() as answer:
                return self._answer(answer, environ, start_response)

    def _parse_request(self, environ: dict, received_s: float) -> Request:
        target = environ["REQUEST_URI"]
        if not is_visible_ascii(target):
            raise ValueError("the target holds a character that must be %-encoded")
        body = self._received_body(environ)
        caller_headers = self.dialect.parse_headers(environ)
        edge_request: EdgeRequest = environ["chute.request"]
        turn = ExchangeTurn(edge_request.conn, reads_ahead=self._serving())
        return Request(
            environ["REQUEST_METHOD"],
            target,
            caller_headers.headers,
            body,
            caller_headers.team,
            caller_headers.key,
            caller_headers.traceparent,
            received_s,
            asked_ms=caller_headers.asked_ms,
            scope=turn.scope,
            id=caller_headers.id,
            host=caller_headers.host,
            turn=turn,
        )

    def _received_body(self, environ: dict) -> bytes:
        received = environ["chute.request"].conn.received
        if received.body_error is not None:
            raise received.body_error
        if len(received.body) < int(environ.get("CONTENT_LENGTH") or 0):
            raise ValueError("the body ended early")
        return received.body

    def _closing_state(self, environ: dict) -> tuple[str, bool]:
        """Return the home to name, and whether the connection stays open.

        A daemon that leaves closes it with the last answer of those that are due.
        """
        if self._serving():
            return self._home(), True
        edge_request: EdgeRequest = environ["chute.request"]
        return "", not edge_request.try_close()

    def _refuse(
        self, refused: Refused, environ: dict, start_response: Callable
    ) -> list[bytes]:
        response = self.dialect.refusal(refused, *self._closing_state(environ))
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        start_response(f"{response.status} {response.phrase}", headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    def _answer(
        self, answer: Answer, environ: dict, start_response: Callable
    ) -> Iterable[bytes]:
        bodiless = (
            environ["REQUEST_METHOD"] == "HEAD" or answer.status in BODILESS_STATUSES
        )
        body = AnswerBody(answer.chunks, -1 if bodiless else answer.length)
        try:
            body.prefetch()
        except AnswerBroken as error:
            refused = Refused(Outcome.UNKNOWN, Reason.UPSTREAM_LOST, str(error))
            return self._refuse(refused, environ, start_response)
        home, keeps_open = self._closing_state(environ)
        headers = list(self.dialect.answer_headers(answer, home, keeps_open))
        if answer.length >= 0:
            headers.append(("Content-Length", str(answer.length)))
        start_response(f"{answer.status} {_phrase(answer.status)}", headers)
        return body


def _refusal_for(error: Exception, abort_reason: Reason | None) -> Refused:
    if abort_reason is not None:
        return Refused(Outcome.NOT_RUN, abort_reason, ABORT_DETAILS[abort_reason])
    if isinstance(error, TooLarge):
        return Refused(Outcome.NOT_RUN, Reason.TOO_LARGE)
    return Refused(Outcome.NOT_RUN, Reason.BAD_REQUEST, str(error))


def _phrase(status: int) -> str:
    return http.client.responses.get(status, "Status")


class EdgeServer:
    """CherryPy's HTTP server with the application mounted at its root.

    Parameters
    ----------
    application : EdgeApplication
        Answers the requests.
    address : tuple of (str, int)
        Host and port to listen on.
    threads : int
        Largest number of threads that serve requests.
    max_header_bytes : int
        Size limit of a request's head.
    read_limit_s : float
        Seconds within which a request must have arrived completely.
    idle_timeout_s : float
        Seconds for which a connection may send or receive nothing.
    """

    def __init__(
        self,
        application: EdgeApplication,
        address: tuple[str, int],
        threads: int,
        max_header_bytes: int,
        read_limit_s: float,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
    ):
        cherrypy.config.update({"log.screen": False, "engine.autoreload.on": False})
        cherrypy.server.unsubscribe()
        cherrypy.tree.graft(application, "/")
        self._server = EdgeHttpServer(
            address,
            cherrypy.tree,
            # `EdgeWorkers` replaces this pool, and starts threads as needed.
            numthreads=1,
            request_queue_size=512,
            timeout=idle_timeout_s,
        )
        self._server.max_threads = threads
        self._server.max_request_header_size = max_header_bytes
        self._server.max_request_body_size = application.max_body_bytes
        self._server.ConnectionClass = EdgeConnection
        self._server.gateway = EdgeGateway
        self._server.error_log = _log_error
        self._server.on_refusal = application.on_refusal
        self._server.dialect = application.dialect
        self._server.clock = application.clock
        self._server.read_limit_s = read_limit_s
        self._server.max_buffered_bytes = max(
            MAX_BUFFERED_BYTES, MIN_BUFFERED_BODY_COUNT * application.max_body_bytes
        )
        self._adapter = ServerAdapter(cherrypy.engine, self._server, address)

    @property
    def port(self) -> int:
        """Port on which the server listens for callers."""
        return self._server.bind_addr[1]

    def set_idle_timeout(self, timeout_s: float) -> None:
        """Set the idle time-out of all connections, including open ones."""
        self._server.timeout = timeout_s

    def start(self) -> None:
        """Listen for callers."""
        self._adapter.subscribe()
        cherrypy.engine.start()

    def stop(self) -> None:
        """Stop listening and close every connection."""
        cherrypy.engine.exit()
        self._adapter.unsubscribe()


def _log_error(msg: str = "", level: int = 20, traceback: bool = False) -> None:
    logger.warning("edge: HTTP server reported an error", detail=msg)
