"""A configuration lowers max_body_bytes while a longer body is on its way. From then on the entry
instance refuses each request with a short body, also once the limit is as it was before."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import deployment_2 as d  # noqa: E402

BODY_BYTES = 360_000  # the largest upload of the site file
PIECE_BYTES = 12_000
PIECE_PAUSE = 0.1  # the upload takes 3 s; its time budget is 4 s
LOWER_LIMIT = 100_000
CONFIG_APPLY = 2.5
WATCH = 20.0  # seconds, after the limit is as before


def serve(connection):
    """A sound backend."""
    rest = b""
    while True:
        head, rest = d.read_head(connection, rest)
        if head is None:
            return
        fields = d.fields_of(head)
        length = int(fields.get("content-length", "0"))
        got = len(rest)
        while got < length:
            more = connection.recv(65536)
            if not more:
                return
            got += len(more)
        rest = b""
        time.sleep(0.05)
        identifier = fields["x-buckthorngrade-request-id"]
        connection.sendall(("HTTP/1.1 200 OK\r\nX-Buckthorngrade-Request-Id: %s\r\n"
                            "X-Buckthorngrade-Server-Seal: seal-%s\r\nContent-Length: 2\r\n\r\nok"
                            % (identifier, identifier)).encode())


def upload(address, result):
    """One client that uploads a photograph over a slow link, as its time budget allows."""
    try:
        with socket.create_connection(address, timeout=6) as sock:
            sock.sendall(("POST /photo/1 HTTP/1.1\r\nHost: %s\r\nX-Buckthorngrade-Request-Id: up1\r\n"
                          "X-Buckthorngrade-Deadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n"
                          % (d.HOST, BODY_BYTES)).encode())
            for _ in range(BODY_BYTES // PIECE_BYTES):
                sock.sendall(b"u" * PIECE_BYTES)
                time.sleep(PIECE_PAUSE)
            head, _ = d.read_head(sock)
            result.append(head.split("\r\n")[0] if head else "no answer")
    except OSError as failure:
        result.append("broken off: %s" % failure)


def ask(address, method, path, identifier, body=None):
    connection = d.http.client.HTTPConnection(address[0], address[1], timeout=4.0)
    try:
        connection.request(method, path, body=body, headers={
            "Host": d.HOST, "X-Buckthorngrade-Request-Id": identifier,
            "X-Buckthorngrade-Deadline-Ms": "4000"})
        response = connection.getresponse()
        response.read()
        return response.status
    except (OSError, d.http.client.HTTPException):
        return None
    finally:
        connection.close()


def carry_out(record, trouble):
    deployment = d.Deployment(record, entries=1)
    try:
        for i, zone in enumerate(d.ZONES):
            for j in range(2):
                name = "i-%d%d" % (i, j)
                address = (deployment.host(100 + 10 * i + j), deployment.port["backend"])
                d.Listener(address, serve)
                deployment.list.entries[name] = d.entry_of("huvo11a", address, zone, slots=5)
        deployment.start()
        routes = [d.Deployment.route("look", "safe", "huvo11a", "2000ms"),
                  d.Deployment.route("claim", "unsafe", "huvo11a", "4000ms"),
                  d.Deployment.route("photo", "upload", "huvo11a", "4000ms")]

        def put(version, **limits):
            text = deployment.configuration(version, routes, ["huvo11a"], **limits)
            if deployment.order("PUT", "/v1/config", text)[0] != 200:
                raise d.CannotRun("version %d was refused" % version)

        put(1)
        entry = next(iter(deployment.entries))
        deployment.wait_ready(entry)
        front = deployment.front(entry)
        time.sleep(4.0)  # contact_window
        before = [ask(front, "POST", "/claim/1", "before%d" % i, b"claim") for i in range(10)]
        record.write("claims before: %s" % before)
        if before.count(200) < 8:
            raise d.CannotRun("claims are not served before")
        result = []
        uploading = threading.Thread(target=upload, args=(front, result))
        uploading.start()
        time.sleep(0.5)
        put(2, **({"max_body_bytes": LOWER_LIMIT} if trouble else {}))
        uploading.join()
        record.write("the upload that was on its way: %s" % result)
        put(3)
        time.sleep(CONFIG_APPLY)
        started = time.monotonic()
        statuses = {"claim": [], "look": []}
        count = 0
        while time.monotonic() - started < WATCH:
            count += 1
            statuses["claim"].append(ask(front, "POST", "/claim/1", "claim%d" % count, b"claim"))
            statuses["look"].append(ask(front, "GET", "/look/1", "look%d" % count))
            time.sleep(0.2)
        shares = {}
        for kind, answers in statuses.items():
            shares[kind] = answers.count(200) / len(answers)
            record.write("%s: %d requests, %s" % (
                kind, len(answers),
                ", ".join("%s x %d" % (s, answers.count(s)) for s in sorted(set(answers), key=str))))
        print("served: claims %.2f, look-ups %.2f" % (shares["claim"], shares["look"]))
        if shares["look"] < 0.9:
            raise d.CannotRun("look-ups are not served")
        everything = statuses["claim"] + statuses["look"]
        if shares["claim"] < 0.25 * everything.count(200) / len(everything):
            return ["Starved: %d claims, %d of them served; look-ups are served in %d of %d; the limit"
                    " has been as before for %.0f s"
                    % (len(statuses["claim"]), statuses["claim"].count(200),
                       statuses["look"].count(200), len(statuses["look"]), WATCH + CONFIG_APPLY)]
        return []
    finally:
        deployment.stop()


d.run_case(os.path.join(FOLDER, "record.txt"), carry_out)
