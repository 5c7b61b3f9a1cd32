"""Stand-in for the platform's store: its published protocol over HTTP."""

from contextlib import contextmanager
from copy import deepcopy
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from json import dumps
from json import loads
from threading import Condition
from threading import Thread
from urllib.parse import parse_qs
from urllib.parse import urlsplit

from poplarrack.errors import ErrorKind
from poplarrack.errors import PoplarrackError
from poplarrack.etcd_json import decode_base64
from poplarrack.etcd_json import encode_base64
from poplarrack.stores import Compare
from poplarrack.stores import Operation
from poplarrack.stores import Store


class StoreStandIn:
    """Answers calls from a Store in memory.

    A ``failure_status`` other than 0 is the answer to every call;
    ``page_size`` limits the items of a range answer. ``endless``, if set, is
    what is answered in place of the rest: its start, and what is repeated.
    ``era`` is the value of the header Store-Era, None for none.
    """

    def __init__(self):
        self.store = Store()
        self.changed = Condition()
        self.failure_status = 0
        self.endless = None
        self.now = 0.0
        self.page_size = 500
        self.calls = []
        self.era = 1
        self.saved = None

    def save(self):
        """Keep a copy, to which ``go_back`` returns."""
        with self.changed:
            self.saved = deepcopy(self.store)

    def go_back(self):
        """Lose what was written since the copy, and begin the next era."""
        with self.changed:
            self.store = deepcopy(self.saved)
            self.era += 1
            self.changed.notify_all()

    def put(self, key, value):
        """Write a value, encoded as JSON, as an operator does."""
        with self.changed:
            operation = Operation(key, dumps(value).encode())
            self.store.transact((), [operation])
            self.changed.notify_all()

    def delete(self, key):
        """Delete a key, as an operator does."""
        with self.changed:
            self.store.transact((), [Operation(key, None)])
            self.changed.notify_all()

    def answer(self, method, path, query, body):
        """Return the status and the body of the answer to a call."""
        self.calls.append(f'{method} {path}')
        if self.failure_status:
            return self.failure_status, {}
        try:
            return self._answer(method, path, query, body)
        except PoplarrackError as error:
            status = 410 if error.kind is ErrorKind.COMPACTED else 404
            return status, {}

    def _answer(self, method, path, query, body):
        with self.changed:
            if path == '/-/kv-range':
                return 200, self._range(query)
            if path == '/-/kv-watch':
                return 200, self._watch(query)
            if path == '/-/kv-txn':
                return self._transact(body)
            if path == '/-/kv-lease':
                seconds = float(body['ttl_time'].removesuffix('ms')) / 1000
                lease = self.store.grant(seconds, self.now)
                return 200, {'lease': lease.lease_id, 'ttl_time': '1s'}
            if path.startswith('/-/kv-keep/'):
                lease_id = int(path.rpartition('/')[2])
                renewed = self.store.keep_alive(lease_id, self.now)
                return (200, {'ttl_time': '1s'}) if renewed else (404, {})
        return 404, {}

    def _range(self, query):
        found = self.store.range(query['prefix'])
        remaining = [i for i in found if i.key > query.get('after', '')]
        return {
            'items': [_encode(item) for item in remaining[: self.page_size]],
            'has_more': len(remaining) > self.page_size,
            'store_revision': self.store.revision,
        }

    def _watch(self, query):
        after, prefix = int(query['after']), query['prefix']
        timeout = int(query['wait_ms']) / 1000
        if after > self.store.revision:
            raise PoplarrackError(ErrorKind.COMPACTED, 'not given out yet')
        self.changed.wait_for(
            lambda: self.store.events_after(after, prefix), timeout
        )
        events = self.store.events_after(after, prefix)
        return {
            'events': [_encode_event(item) for item in events],
            'store_revision': self.store.revision,
        }

    def _transact(self, body):
        compares = [
            Compare(row['key'], row['revision'])
            for row in body['expected_revision']
        ]
        puts = [
            Operation(put['key'], decode_base64(put['value']), put['lease'])
            for put in body['puts']
        ]
        if not self.store.transact(compares, puts):
            return 412, {'items': []}
        self.changed.notify_all()
        return 200, {'revision': self.store.revision}


def _encode(item):
    return {
        'key': item.key,
        'value': encode_base64(item.value),
        'revision': item.mod_revision,
        'created': item.create_revision,
        'lease': item.lease_id,
    }


def _encode_event(item):
    if item.value is None:
        return {
            'key': item.key,
            'revision': item.mod_revision,
            'deleted': True,
        }
    return _encode(item)


class _Handler(BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def _serve(self):
        parts = urlsplit(self.path)
        query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        length = int(self.headers.get('Content-Length') or 0)
        body = loads(self.rfile.read(length)) if length else None
        stand_in = self.server.stand_in
        if stand_in.endless:
            self._answer_endlessly(*stand_in.endless)
            return
        status, value = stand_in.answer(self.command, parts.path, query, body)
        raw = dumps(value).encode()
        self.send_response(status)
        self.send_header('Content-Length', str(len(raw)))
        if stand_in.era is not None:
            self.send_header('Store-Era', str(stand_in.era))
        self.end_headers()
        self.wfile.write(raw)

    def _answer_endlessly(self, head, block):
        self.close_connection = True
        self.wfile.write(head)
        while True:
            self.wfile.write(block)

    do_GET = do_POST = do_DELETE = _serve

    def log_message(self, *arguments):
        return


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request, client_address):
        # Tests kill clients in the middle of calls: no traceback is printed.
        return


@contextmanager
def running_store():
    """Run a stand-in; yield it and its ``host:port``."""
    server = _Server(('127.0.0.1', 0), _Handler)
    server.stand_in = StoreStandIn()
    thread = Thread(target=server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    try:
        yield server.stand_in, f'127.0.0.1:{server.server_address[1]}'
    finally:
        server.shutdown()
        server.server_close()
