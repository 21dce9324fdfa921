"""Uploads that backends answer before they have read the whole body. Some of the answers have no
length and are reset on the way: such an answer is not complete and must not look complete."""

import hashlib
import json
import os
import random
import socket
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import deployment_2 as d  # noqa: E402

CLIENT_PROCESSES = 3
CLIENTS = 12  # of each process
DURATION = float(os.environ.get("DURATION", "60"))
BODY_BYTES = 360_000  # the largest upload of the site file
ANSWER_BYTES = 1500
EARLY_SHARE = 0.4  # of the long requests, as the site file has it for garble early
RESET_SHARE = 0.05  # of the answers, as the site file has it for garble unframed
GARBLING_SHARE = 0.5  # of the backends, the default of garble


def whole_answer(identifier):
    seed = hashlib.sha256(identifier.encode()).hexdigest()
    return (seed * (ANSWER_BYTES // len(seed) + 1))[:ANSWER_BYTES].encode()


class Backend:
    def __init__(self, record, address, name, trouble):
        self.record, self.name, self.trouble = record, name, trouble
        self.random = random.Random(name)
        self.spoiled = {}
        d.Listener(address, self._serve)

    def _serve(self, connection):
        rest = b""
        while True:
            head, rest = d.read_head(connection, rest)
            if head is None:
                return
            fields = d.fields_of(head)
            identifier = fields["x-buckthorngrade-request-id"]
            length = int(fields.get("content-length", "0"))
            start = ("HTTP/1.1 200 OK\r\nX-Buckthorngrade-Request-Id: %s\r\n"
                     "X-Buckthorngrade-Server-Seal: seal-%s\r\n"
                     "X-Buckthorngrade-Instance-Id: %s\r\n" % (identifier, identifier, self.name))
            answer = whole_answer(identifier)
            got = len(rest)
            chance = self.random.random()
            is_spoiled = self.trouble and chance < RESET_SHARE
            is_early = chance < EARLY_SHARE
            early_at = self.random.randint(10_000, length - 60_000)
            if is_early:
                while got < early_at:
                    got += len(connection.recv(16384))
            if is_spoiled:
                # The answer has no length. A third of it is sent, then the connection is reset,
                # while more of the request arrives.
                connection.sendall(start.encode() + b"Connection: close\r\n\r\n"
                                   + answer[:ANSWER_BYTES // 3])
                until = got + self.random.randint(4_000, 40_000)
                while got < until:
                    got += len(connection.recv(16384))
                time.sleep(self.random.random() * 0.004)
                self.spoiled[identifier] = got
                d.reset(connection)
                return
            text = start.encode() + b"Content-Length: %d\r\n\r\n" % len(answer) + answer
            if is_early:
                connection.sendall(text)
            while got < length:
                more = connection.recv(65536)
                if not more:
                    return
                got += len(more)
            rest = b""
            if not is_early:
                connection.sendall(text)


def upload(address, identifier):
    """Returns the status, whether the answer looks complete, and its body as text."""
    with socket.create_connection(address, timeout=5) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.sendall(("POST /photo/1 HTTP/1.1\r\nHost: %s\r\n"
                      "X-Buckthorngrade-Request-Id: %s\r\n"
                      "X-Buckthorngrade-Deadline-Ms: 4000\r\nContent-Length: %d\r\n"
                      "Connection: close\r\n\r\n"
                      % (d.HOST, identifier, BODY_BYTES)).encode())

        def send():
            try:
                sock.sendall(b"u" * BODY_BYTES)
            except OSError:
                pass  # the answer may come before the body is read

        sender = threading.Thread(target=send, daemon=True)
        sender.start()
        head, body = d.read_head(sock)
        if head is None:
            return None, False, ""
        fields = d.fields_of(head)
        length = int(fields["content-length"])
        while len(body) < length:
            more = sock.recv(65536)
            if not more:
                break
            body += more
        is_sealed = "x-buckthorngrade-server-seal" in fields
        return (int(head.split(" ")[1]), len(body) == length and is_sealed, body.decode("latin-1"))


def run_clients(first, address):
    """The body of a client process: prints a line for each request."""
    stop_at = time.monotonic() + DURATION
    lock = threading.Lock()

    def run(number):
        count = 0
        while time.monotonic() < stop_at:
            count += 1
            identifier = "%04x%012x" % (number, count)
            try:
                result = upload(address, identifier)
            except (OSError, ValueError):
                result = (None, False, "")
            with lock:
                print(json.dumps((identifier,) + result), flush=True)

    threads = [threading.Thread(target=run, args=(first + i,)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def carry_out(record, trouble):
    deployment = d.Deployment(record, entries=1)
    try:
        backends = []
        for i, zone in enumerate(d.ZONES):
            for j in range(2):
                name = "i-%d%d" % (i, j)
                address = (deployment.host(100 + 10 * i + j), deployment.port["backend"])
                garbles = trouble and j < 2 * GARBLING_SHARE
                backends.append(Backend(record, address, name, garbles))
                deployment.list.entries[name] = d.entry_of("huvo11a", address, zone, slots=5)
        deployment.start()
        text = deployment.configuration(
            1, [d.Deployment.route("photo", "upload", "huvo11a", "4000ms")], ["huvo11a"])
        if deployment.order("PUT", "/v1/config", text)[0] != 200:
            raise d.CannotRun("the configuration was refused")
        entry = next(iter(deployment.entries))
        deployment.wait_ready(entry)
        host, port = deployment.front(entry)
        clients = [subprocess.Popen([sys.executable, os.path.abspath(__file__), "clients",
                                     str(i * CLIENTS), host, str(port)],
                                    stdout=subprocess.PIPE, text=True)
                   for i in range(CLIENT_PROCESSES)]
        outputs = [[] for _ in clients]

        def collect(client, output):
            output.extend(json.loads(line) for line in client.stdout)

        readers = [threading.Thread(target=collect, args=pair) for pair in zip(clients, outputs)]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join()
        for client in clients:
            client.wait()
        results = [result for output in outputs for result in output]
        spoiled = {name: got for backend in backends for name, got in backend.spoiled.items()}
        breaks = []
        served = 0
        for identifier, status, is_whole, body in results:
            expected = whole_answer(identifier)
            state = "reset on the way" if identifier in spoiled else "sound"
            record.write("request %s: backend's answer %s; client got %s, %d of %d bytes, %s"
                         % (identifier, state, status, len(body), len(expected),
                            "complete" if is_whole else "not complete"))
            if status is not None and 200 <= status < 300 and is_whole:
                served += 1
                if body.encode("latin-1") != expected:
                    breaks.append("MIXED: client of request %s got a complete 200 with %d of the"
                                  " %d bytes of the answer, which had been reset on the way"
                                  % (identifier, len(body), len(expected)))
        record.write("%d requests, %d served, %d answers reset on the way"
                     % (len(results), served, len(spoiled)))
        print("%d requests, %d served, %d answers reset, %d given as whole"
              % (len(results), served, len(spoiled), len(breaks)))
        if served < 50:
            raise d.CannotRun("fewer than 50 requests were served")
        return breaks
    finally:
        deployment.stop()


if sys.argv[1:2] == ["clients"]:
    run_clients(int(sys.argv[2]), (sys.argv[3], int(sys.argv[4])))
else:
    d.run_case(os.path.join(FOLDER, "record.txt"), carry_out)
