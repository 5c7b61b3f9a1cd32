"""Serve pages to operators and receive announcements, over cheroot."""

from json import JSONDecodeError
from json import loads
from threading import Thread

from cheroot.wsgi import Server

from poplarrack.addresses import split_address
from poplarrack.errors import PoplarrackError
from poplarrack.pages import json_page

# Bound of a request's body, and of its headers.
MAX_REQUEST_PART_BYTES = 65_536
THREADS = 2
SOCKET_TIMEOUT_SECONDS = 5


class PageServer:
    """An HTTP server that runs in its own thread.

    :param address: IP number and port to listen on.
    :param routes: a mapping of (method, path) to a function that gets the
        decoded JSON body, or None, and returns a Page.
    """

    def __init__(self, address, routes):
        self.routes = routes
        self.server = Server(split_address(address), self, numthreads=THREADS)
        self.server.max_request_body_size = MAX_REQUEST_PART_BYTES
        self.server.max_request_header_size = MAX_REQUEST_PART_BYTES
        self.server.timeout = SOCKET_TIMEOUT_SECONDS
        self.thread = None

    def start(self):
        """Listen and start the thread.

        :returns: the port in use.
        """
        self.server.prepare()
        self.thread = Thread(target=self.server.serve, daemon=True)
        self.thread.start()
        return self.server.bind_addr[1]

    def stop(self):
        """Stop after the requests in progress."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Answer a request, as a WSGI application."""
        page = self._page(environ)
        headers = [
            ('Content-Type', page.content_type),
            ('Content-Length', str(len(page.body))),
        ]
        start_response(f'{page.status} -', headers)
        return [page.body]

    def _page(self, environ):
        key = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        serve = self.routes.get(key)
        if serve is None:
            return json_page({'error': f'no page {key[1]}'}, 404)
        length = int(environ.get('CONTENT_LENGTH') or 0)
        try:
            raw = environ['wsgi.input'].read(length) if length else b''
            return serve(loads(raw) if raw else None)
        except (JSONDecodeError, UnicodeDecodeError, RecursionError) as error:
            return json_page({'error': f'not JSON: {error}'}, 400)
        except PoplarrackError as error:
            status = error.answer.http_status
            return json_page({'error': str(error)}, status)
