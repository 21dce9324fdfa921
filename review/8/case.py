"""The provider's list gets an entry of another writer whose bytes can't be read. A backend drains
afterwards. The other entries must hold: the draining backend gets nothing after `drain`."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import deployment_2 as d  # noqa: E402

DRAIN = 3.0
SERVES_ON = 3.0  # seconds that the draining backend serves beyond `drain`
CLIENTS = 12
WORK = 0.8  # seconds that a claim takes
OBJECTS = 24  # that the requests concern
# An entry whose id has bytes that are no text in JSON; the fields are those of any entry.
UNREADABLE = (b'"i-\x9c\x03\xe1\x17\xb2\x0e":{"service":"huvo11a","address":"127.0.0.1:9",'
              b'"zone":"akl-a","version":"v1","slots":5,"state":"ready","cold_remaining":"0ms",'
              b'"born":1}')


class Backend:
    def __init__(self, record, address, name):
        self.record, self.name = record, name
        self.arrivals = []
        self.running = set()
        self.connections = set()
        self.has_ended = False
        self._listener = d.Listener(address, self._serve)

    def _serve(self, connection):
        self.connections.add(connection)
        rest = b""
        while not self.has_ended:
            head, rest = d.read_head(connection, rest)
            if head is None:
                return
            identifier = d.fields_of(head)["x-buckthorngrade-request-id"]
            self.arrivals.append((time.monotonic(), identifier))
            self.running.add(identifier)
            self.record.write("%s began to run %s" % (self.name, identifier))
            time.sleep(WORK)
            if self.has_ended:
                return
            body = identifier.encode()
            connection.sendall(
                ("HTTP/1.1 200 OK\r\nX-Buckthorngrade-Request-Id: %s\r\n"
                 "X-Buckthorngrade-Server-Seal: seal-%s\r\nX-Buckthorngrade-Instance-Id: %s\r\n"
                 "Content-Length: %d\r\n\r\n"
                 % (identifier, identifier, self.name, len(body))).encode() + body)
            self.running.discard(identifier)

    def end(self):
        self.has_ended = True
        self._listener.close()
        for connection in list(self.connections):
            try:
                d.reset(connection)
            except OSError:
                pass


def client(number, address, stop_at, results):
    count = 0
    while time.monotonic() < stop_at:
        count += 1
        identifier = "%04x%012x" % (number, count)
        sent_at = time.monotonic()
        answer = None
        connection = d.http.client.HTTPConnection(address[0], address[1], timeout=4.0)
        try:
            connection.request("POST", "/claim/1", body=b"claim", headers={
                "Host": d.HOST, "X-Buckthorngrade-Request-Id": identifier,
                "X-Buckthorngrade-Deadline-Ms": "4000",
                "Cookie": "X-Buckthorngrade-Affinity-Key=%d" % (count * CLIENTS % OBJECTS + number)})
            response = connection.getresponse()
            response.read()
            answer = response.status
        except (OSError, d.http.client.HTTPException):
            pass
        finally:
            connection.close()
        results[identifier] = (sent_at, answer)
        time.sleep(0.02)


def carry_out(record, trouble):
    deployment = d.Deployment(record, entries=1)
    try:
        backends = {}
        for i, zone in enumerate(d.ZONES):
            for j in range(3):
                name = "i-%d%d" % (i, j)
                address = (deployment.host(100 + 10 * i + j), deployment.port["backend"])
                backends[name] = Backend(record, address, name)
                deployment.list.entries[name] = d.entry_of("huvo11a", address, zone, slots=5)
        deployment.start()
        route = d.Deployment.route("claim", "unsafe", "huvo11a", "4000ms")
        route["sticky_sessions"] = True
        text = deployment.configuration(1, [route], ["huvo11a"])
        if deployment.order("PUT", "/v1/config", text)[0] != 200:
            raise d.CannotRun("the configuration was refused")
        entry = next(iter(deployment.entries))
        deployment.wait_ready(entry)
        results = {}
        stop_at = time.monotonic() + 16
        threads = [threading.Thread(target=client, args=(i, deployment.front(entry), stop_at, results))
                   for i in range(CLIENTS)]
        for thread in threads:
            thread.start()
        time.sleep(5.0)
        if trouble:
            with deployment.list.lock:
                deployment.list.extra = UNREADABLE
            record.write("the list has an entry that can't be read")
        time.sleep(1.0)
        since = time.monotonic() - 3.0
        leaving = max(backends.values(),
                      key=lambda backend: sum(1 for at, _ in backend.arrivals if at > since))
        with deployment.list.lock:
            deployment.list.entries[leaving.name]["state"] = "draining"
        shown_at = time.monotonic()
        record.write("the list shows %s as draining" % leaving.name)
        time.sleep(DRAIN + SERVES_ON)
        cut_off = sorted(leaving.running)
        leaving.end()
        with deployment.list.lock:
            del deployment.list.entries[leaving.name]
        record.write("%s has ended and is gone from the list" % leaving.name)
        for thread in threads:
            thread.join()
        served = sum(1 for _, answer in results.values() if answer == 200)
        record.write("%d requests, %d served; the list was read %d times"
                     % (len(results), served, deployment.list.calls))
        late = [(at, identifier) for at, identifier in leaving.arrivals
                if at - shown_at > DRAIN and results[identifier][0] - shown_at > DRAIN]
        lost = [identifier for identifier in cut_off if results[identifier][1] != 200]
        breaks = []
        if late:
            breaks.append("DRAIN: %d requests reached %s later than 3 s after the list showed it as"
                          " draining, up to %.2f s after" % (len(late), leaving.name,
                                                            late[-1][0] - shown_at))
            for identifier in lost:
                record.write("claim %s was at work at %s when that ended; the client got %s"
                             % (identifier, leaving.name, results[identifier][1]))
            print("%d claims were cut off when the backend ended" % len(lost))
        if served < 50:
            raise d.CannotRun("fewer than 50 requests were served")
        return breaks
    finally:
        deployment.stop()


d.run_case(FOLDER, carry_out)
