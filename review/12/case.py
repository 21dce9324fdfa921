"""CONFIG: two routes whose hosts differ in the case of a letter; the configuration is acknowledged, and requests of one
route run at the service of the other."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import deployment_3 as d  # noqa: E402

PREFIX = "/claims/"
OTHER_HOST = "Ficu95.example" if d.TROUBLE else "other95.example"


def route(name, host, service):
    return [name, host, PREFIX, "unsafe", "3000ms", "600ms", 1, service, 2, False, [], None]


async def lodge(deployment, entry, host, sent):
    request_id = d.new_id()
    sent[request_id] = host
    deployment.record("sent", request_id, "POST", PREFIX + request_id, "Host:", host)
    reader, writer = await asyncio.open_connection(entry.host, deployment.port)
    text = d.request("POST", PREFIX + request_id, request_id, 4000, b"claim").decode()
    writer.write(text.replace("Host: %s\r\n" % d.HOST, "Host: %s\r\n" % host).encode())
    line, fields = await asyncio.wait_for(d.read_head(reader), 5)
    await asyncio.wait_for(d.read_body(reader, fields), 5)
    writer.close()
    status = int(line.split(" ")[1])
    deployment.record("answered", request_id, status)
    return status


async def play(record):
    deployment = d.Deployment(record, [(service, zone) for zone in d.ZONES for service in ("batchcheck", "claimdesk")],
                              entries=2, routes=[route("r-first", d.HOST, "claimdesk")])
    try:
        await deployment.start()
        service_of = {backend.id: backend.service for backend in deployment.backends}
        sent, statuses = {}, []
        for number in range(20):
            statuses.append(await lodge(deployment, deployment.entries[number % 2], d.HOST, sent))
        deployment.routes = [route("r-first", d.HOST, "claimdesk"), route("r-second", OTHER_HOST, "batchcheck")]
        answer = await deployment.operator("PUT", "/v1/config", json.dumps(deployment.config(8)).encode())
        record("the configuration with routes for", d.HOST, "and", OTHER_HOST, "got", answer[0])
        await asyncio.sleep(4)  # config_apply is 2.5 s
        allowed = {d.HOST: "claimdesk", OTHER_HOST: "batchcheck"}
        for number in range(100):
            host = d.HOST if number % 2 == 0 or answer[0] != 200 else OTHER_HOST
            statuses.append(await lodge(deployment, deployment.entries[number // 2 % 2], host, sent))
        wrong = [run[0] for backend in deployment.backends for run in backend.runs
                 if service_of[backend.id] != allowed[sent[run[0]]]]
        record("acknowledged with", answer[0], "- claims that ran at the service of the other route:", len(wrong))
        print("the configuration got", answer[0], "answers", {s: statuses.count(s) for s in set(statuses)},
              "claims at the other route's service", len(wrong))
        if statuses[:20].count(200) < 15:
            raise d.CannotRun("too few claims were served under the first configuration")
        return answer[0] in range(400, 500) or not wrong
    finally:
        deployment.close()


d.main(os.path.join(FOLDER, "record.txt"), play)
