"""The first configuration bears version 0. It is acknowledged, and thrown away."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import deployment_2 as d  # noqa: E402

CONFIG_APPLY = 2.5
READ_FOR = 12.0  # seconds; contact_window, the least time for which the operator reads, is 4 s


def read(deployment):
    """One read of the configuration at each control instance, following 307 twice."""
    results = []
    for host in deployment.controls.values():
        address = (host, deployment.port["control"])
        for _ in range(3):
            answer = d.call(address, "GET", "/v1/config", timeout=1.0)
            if answer is None or answer[0] != 307:
                break
            place = answer[1]["Location"].split("/")[2]
            address = (place.split(":")[0], int(place.split(":")[1]))
        results.append(answer)
    return results


def carry_out(record, trouble):
    deployment = d.Deployment(record, entries=1)
    try:
        address = (deployment.host(100), deployment.port["backend"])
        deployment.list.entries["i-1"] = d.entry_of("huvo11a", address, "akl-a")
        deployment.start()
        time.sleep(5.0)  # the core has been stable for contact_window
        version = 0 if trouble else 1
        text = deployment.configuration(
            version, [d.Deployment.route("claim", "unsafe", "huvo11a", "4000ms")], ["huvo11a"])
        status = deployment.order("PUT", "/v1/config", text)[0]
        if status != 200:
            record.write("version %d is refused with %d, as an invalid one may be" % (version, status))
            return []
        acked_at = time.monotonic()
        time.sleep(CONFIG_APPLY)
        statuses = []
        while time.monotonic() - acked_at < READ_FOR:
            for answer in read(deployment):
                statuses.append(answer[0] if answer else None)
                if answer and answer[0] == 200:
                    record.write("read back %.1f s after the ack: %d bytes"
                                 % (time.monotonic() - acked_at, len(answer[2])))
                    if answer[2].decode() != text:
                        return ["CONFIG: read back is not what was sent"]
                    return []
            time.sleep(0.5)
        summary = ", ".join("%s x %d" % (s, statuses.count(s)) for s in sorted(set(statuses), key=str))
        record.write("reads: " + summary)
        ready = d.call((next(iter(deployment.entries.values()))[0], deployment.port["ready"]),
                       "GET", "/v1/ready", timeout=1.0)
        record.write("the entry instance's readiness: %s" % (ready[0] if ready else None))
        return ["CONFIG: version %d was acknowledged with 200, and no read brought it for %.0f s"
                " (%s)" % (version, READ_FOR, summary)]
    finally:
        deployment.stop()


d.run_case(os.path.join(FOLDER, "record.txt"), carry_out)
