"""Callers' edge: a WSGI application grafted on CherryPy's tree."""

import json
from collections.abc import Callable, Iterator

import cherrypy
from cheroot import wsgi
from cherrypy.process.servers import ServerAdapter

from chicorychute.core.clock import Clock
from chicorychute.core.outcomes import REASON_SPECS, Outcome, Reason
from chicorychute.pipeline.values import Answer, Handler, Refused, Request
from chicorychute.transport.upstream import HOP_BY_HOP

OWN_HEADERS = frozenset(
    {"idempotency-key", "chute-deadline-ms", "chute-team", "traceparent"}
)
STATUS_TEXT = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class EdgeApplication:
    """Turns WSGI calls into requests and replies into answers.

    Parameters
    ----------
    handle : callable
        First handler of the pipeline.
    home : callable
        Returns the token under which orders may be placed here.
    serving : callable
        Returns False once the daemon leaves: answers then name no home and ask
        callers to close their connections.
    """

    def __init__(
        self,
        handle: Handler,
        home: Callable[[], str],
        clock: Clock,
        max_body_bytes: int,
        serving: Callable[[], bool] = lambda: True,
    ):
        self._serving = serving
        self._handle = handle
        self._home = home
        self._clock = clock
        self._max_body_bytes = max_body_bytes

    def __call__(self, environ: dict, start_response: Callable) -> Iterator[bytes]:
        """Answer one request."""
        received_s = self._clock.monotonic()
        try:
            request = self._read(environ, received_s)
        except ValueError as error:
            refused = Refused(Outcome.NOT_RUN, Reason.BAD_REQUEST, str(error))
            return self._refuse(refused, start_response)
        if request is None:
            refused = Refused(Outcome.NOT_RUN, Reason.TOO_LARGE)
            return self._refuse(refused, start_response)
        match self._handle(request):
            case Refused() as refused:
                return self._refuse(refused, start_response)
            case Answer() as answer:
                return self._answer(answer, start_response)

    def _read(self, environ: dict, received_s: float) -> Request | None:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        if length > self._max_body_bytes:
            return None
        body = environ["wsgi.input"].read(length) if length else b""
        if len(body) < length:
            raise ValueError("the body ended early")
        target = environ.get("REQUEST_URI") or environ["PATH_INFO"]
        headers = []
        for name, value in environ.items():
            if name.startswith("HTTP_"):
                plain = name[5:].replace("_", "-").lower()
                if plain not in HOP_BY_HOP and plain not in OWN_HEADERS:
                    headers.append((plain, value))
        if environ.get("CONTENT_TYPE"):
            headers.append(("content-type", environ["CONTENT_TYPE"]))
        asked = environ.get("HTTP_CHUTE_DEADLINE_MS")
        return Request(
            environ["REQUEST_METHOD"],
            target,
            tuple(headers),
            body,
            environ.get("HTTP_CHUTE_TEAM", ""),
            environ.get("HTTP_IDEMPOTENCY_KEY", ""),
            environ.get("HTTP_TRACEPARENT", ""),
            received_s,
            asked_ms=float(asked) if asked else None,
        )

    def _refuse(self, refused: Refused, start_response: Callable) -> list[bytes]:
        spec = REASON_SPECS[refused.reason]
        body = json.dumps(
            {
                "outcome": refused.outcome.value,
                "reason": refused.reason.value,
                "detail": refused.detail,
                "remedy": spec.remedy,
            }
        ).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
            ("Chute-Outcome", refused.outcome.value),
            ("Chute-Reason", refused.reason.value),
            *self._stay_headers(),
        ]
        start_response(f"{spec.status} {refused.reason.value}", headers)
        return [body]

    def _stay_headers(self) -> list[tuple[str, str]]:
        if self._serving():
            return [("Chute-Home", self._home())]
        return [("Connection", "close")]

    def _answer(self, answer: Answer, start_response: Callable) -> Iterator[bytes]:
        headers = [*answer.headers]
        if answer.length >= 0:
            headers.append(("Content-Length", str(answer.length)))
        headers.append(("Chute-Outcome", Outcome.RAN.value))
        headers.extend(self._stay_headers())
        headers.append(("Chute-Upstream", answer.upstream))
        status = f"{answer.status} {STATUS_TEXT.get(answer.status, 'Status')}"
        start_response(status, headers)
        return answer.chunks


class EdgeServer:
    """CherryPy's server with the application grafted on its tree."""

    def __init__(
        self,
        application: EdgeApplication,
        address: tuple[str, int],
        threads: int,
        max_header_bytes: int,
    ):
        cherrypy.config.update({"log.screen": False, "engine.autoreload.on": False})
        cherrypy.server.unsubscribe()
        cherrypy.tree.graft(application, "/")
        self._server = wsgi.Server(
            address, cherrypy.tree, numthreads=threads, request_queue_size=512
        )
        self._server.max_request_header_size = max_header_bytes
        self._adapter = ServerAdapter(cherrypy.engine, self._server, address)

    @property
    def port(self) -> int:
        """Port on which callers connect."""
        return self._server.bind_addr[1]

    def start(self) -> None:
        """Listen for callers."""
        self._adapter.subscribe()
        cherrypy.engine.start()

    def stop(self) -> None:
        """Stop listening and end every connection."""
        cherrypy.engine.exit()
