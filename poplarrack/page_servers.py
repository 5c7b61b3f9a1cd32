"""Serve the operators' pages and take announcements, with cheroot."""

from json import JSONDecodeError
from json import loads
from threading import Thread

from cheroot.wsgi import Server

from poplarrack.addresses import split_address
from poplarrack.errors import PoplarrackError
from poplarrack.pages import json_page

MAX_PAGE_BODY_BYTES = 65_536
THREADS = 2


class PageServer:
    """An HTTP server on a thread of its own.

    :param routes: maps (method, path) to a function of the decoded JSON
        body, or None, to a Page.
    """

    def __init__(self, address, routes):
        self.routes = routes
        self.server = Server(split_address(address), self, numthreads=THREADS)
        self.server.max_request_body_size = MAX_PAGE_BODY_BYTES
        self.server.max_request_header_size = MAX_PAGE_BODY_BYTES
        self.server.timeout = 5
        self.thread = None

    def start(self):
        """Listen; returns the port in use."""
        self.server.prepare()
        self.thread = Thread(target=self.server.serve, daemon=True)
        self.thread.start()
        return self.server.bind_addr[1]

    def stop(self):
        """Stop after the requests under way."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Answer one request by the WSGI protocol."""
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
        except (JSONDecodeError, UnicodeDecodeError) as error:
            return json_page({'error': f'not JSON: {error}'}, 400)
        except PoplarrackError as error:
            status = error.answer.http_status
            return json_page({'error': str(error)}, status)
