"""Operators' pages, served on a separate port by CherryPy's dispatcher."""

import threading
from collections.abc import Callable

import cherrypy
from cheroot import wsgi

from chicorychute.table.rows import Table
from chicorychute.telemetry.prometheus import CONTENT_TYPE

OPERATOR_THREADS = 4


class OperatorPages:
    """Pages ``/live``, ``/ready``, ``/status``, ``/metrics`` and ``/table``.

    Parameters
    ----------
    ready : callable
        Returns an empty string if the daemon serves, else why it does not.
    status : callable
        Returns the status as JSON values.
    metrics : callable
        Returns the metrics as Prometheus text.
    table : callable
        Returns the table in force, None before the first one.
    """

    def __init__(
        self,
        ready: Callable[[], str],
        status: Callable[[], dict],
        metrics: Callable[[], str],
        table: Callable[[], Table | None],
    ):
        self._ready = ready
        self._status = status
        self._metrics = metrics
        self._table = table

    @cherrypy.expose
    def index(self) -> str:
        """Return the paths of the pages."""
        return "/live\n/ready\n/status\n/metrics\n/table\n"

    @cherrypy.expose
    def table(self) -> bytes:
        """Return the text of the table in force, or 503 if there is none."""
        table = self._table()
        if table is None:
            cherrypy.response.status = 503
            return b"no table yet\n"
        cherrypy.response.headers["Content-Type"] = "text/csv; charset=utf-8"
        cherrypy.response.headers["Chute-Table-Version"] = str(table.version)
        return table.text.encode()

    @cherrypy.expose
    def live(self) -> str:
        """Return 200, which shows that the process runs."""
        return "live\n"

    @cherrypy.expose
    def ready(self) -> str:
        """Return 200 if the daemon serves, else 503 with the reason."""
        problem = self._ready()
        if problem:
            cherrypy.response.status = 503
            return f"not ready: {problem}\n"
        return "ready\n"

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def status(self) -> dict:
        """Return the status as JSON."""
        return self._status()

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics as Prometheus text."""
        cherrypy.response.headers["Content-Type"] = CONTENT_TYPE
        return self._metrics().encode()


class OperatorServer:
    """HTTP server for the operators' pages, with its own thread."""

    def __init__(self, pages: OperatorPages, address: tuple[str, int]):
        application = cherrypy.Application(pages, "")
        application.log.screen = False
        application.merge({"/": {"request.show_tracebacks": False}})
        self._server = wsgi.Server(address, application, numthreads=OPERATOR_THREADS)
        self._thread = threading.Thread(
            target=self._server.serve, name="operator", daemon=True
        )

    def start(self) -> None:
        """Listen and serve in a thread."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop serving."""
        self._server.stop()
