"""Operators' pages on a port of their own, served by CherryPy's dispatcher."""

import threading
from collections.abc import Callable

import cherrypy
from cheroot import wsgi

OPERATOR_THREADS = 4


class OperatorPages:
    """Pages ``/live``, ``/ready`` and ``/status``.

    Parameters
    ----------
    ready : callable
        Returns an empty text if the daemon serves, else why it does not.
    status : callable
        Returns the status as JSON values.
    """

    def __init__(self, ready: Callable[[], str], status: Callable[[], dict]):
        self._ready = ready
        self._status = status

    @cherrypy.expose
    def live(self) -> str:
        """Answer that the process runs."""
        return "live\n"

    @cherrypy.expose
    def ready(self) -> str:
        """Answer 200 if the daemon serves, else 503 with the reason."""
        reason = self._ready()
        if reason:
            cherrypy.response.status = 503
            return f"not ready: {reason}\n"
        return "ready\n"

    @cherrypy.expose
    @cherrypy.tools.json_out()
    def status(self) -> dict:
        """Answer the status as JSON."""
        return self._status()


class OperatorServer:
    """Small server for the operators' pages."""

    def __init__(self, pages: OperatorPages, address: tuple[str, int]):
        application = cherrypy.Application(pages, "")
        application.log.screen = False
        self._server = wsgi.Server(address, application, numthreads=OPERATOR_THREADS)
        self._thread = threading.Thread(
            target=self._server.serve, name="operator", daemon=True
        )

    def start(self) -> None:
        """Listen for operators."""
        self._server.prepare()
        self._thread.start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.stop()
