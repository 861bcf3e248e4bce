"""The origin spoils the manifest of a version, then everything is killed."""

import os
import sys
import threading
import time

sys.path.insert(
    0,
    os.path.join(
        os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"
    ),
)
import engine  # noqa: E402
from deployment import (  # noqa: E402
    BROKEN,
    HELD,
    NOT_RUN,
    TROUBLE,
    ZONES,
    call,
    now,
    run_case,
)

DOWN_S = 1.2  # As in the closing `kill_all` of the site.
RECOVERY_S = 12  # bounds.recovery_s
COUNTED_S = 20
CALL_INTERVAL_S = 0.2
SPOILS = TROUBLE and os.environ.get("SPOIL", "1") != "0"


def configuration(origin):
    return {
        "version": 7,
        "routes": [
            {
                "name": "r-read",
                "hostname": "desk.example",
                "path_prefix": "/read/",
                "kind": "streaming",
                "timeout_ms": 6000,
                "target_latency_ms": 500,
                "target_gap_ms": 400,
                "priority": 1,
                "service": "reader",
                "max_attempts": 2,
                "public": True,
                "sticky": True,
                "stream_resume": True,
            }
        ],
        "services": [
            engine.service("reader"),
            {"name": "portal", "origin": origin.address},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 20000,
        },
    }


def play(deployment, record):
    origin = engine.Origin(record)
    store = deployment.store
    store.put("op/config", configuration(origin))
    store.put(
        f"op/version/{engine.MODEL}", {"model": engine.MODEL, "version": 1}
    )
    zones = list(ZONES)
    engines = [
        engine.Engine(store, number, "reader", zone, record)
        for number, zone in enumerate(zones, 1)
    ]
    entries = (1, 2, 3)
    for number, zone in zip(entries, zones):
        deployment.zones[f"edge-{number}"] = zone
        deployment.zones[f"side-{number}"] = zone
    for number in entries:
        deployment.start_entry(number)
    for number, each in enumerate(engines, 1):
        deployment.start_agent(
            f"side-{number}", each.host, "reader", each.address
        )
    if not deployment.await_ready(entries):
        return NOT_RUN
    time.sleep(4)

    lock = threading.Lock()
    results = []  # When a request was sent, and the status.
    is_over = threading.Event()

    def run_caller(entry):
        sent = 0
        while not is_over.is_set():
            sent += 1
            name = f"{entry:02}{sent:014x}"
            began = now()
            try:
                reply = call(
                    f"127.0.1.{entry}",
                    deployment.front,
                    "POST",
                    "/read/1",
                    {
                        "X-Request-Id": name,
                        "X-Model": engine.MODEL,
                        "X-Token-Usage": "40,25",
                        "X-Prompt-Prefix": f"5c1e07a2:40,{sent:x}:10",
                        "X-Request-Deadline": "6000",
                    },
                    7,
                )
                status = reply.status
            except OSError:
                status = "no answer"
            record.write(f"request {name}: {status}")
            with lock:
                results.append((began, status))
            time.sleep(CALL_INTERVAL_S)

    for entry in entries:
        threading.Thread(target=run_caller, args=(entry,), daemon=True).start()
    time.sleep(5)
    answers_before = origin.answers
    store.put(
        f"op/version/{engine.MODEL}", {"model": engine.MODEL, "version": 2}
    )
    named_at = now()
    record.write("version 2 is named")
    if TROUBLE:
        for name in list(deployment.children):
            deployment.kill(name)
        record.write("all processes are killed")
        time.sleep(DOWN_S)
        if SPOILS:
            origin.spoilt_manifests = len(engines)
        for name in list(deployment.children):
            deployment.restart(name)
        record.write("all processes start again")
    back_at = now()
    time.sleep(RECOVERY_S + COUNTED_S)
    is_over.set()
    time.sleep(1)

    def served_share(begin, end):
        counted = [
            status for at, status in results if begin <= at < end
        ]
        served = sum(status == 200 for status in counted)
        record.write(f"{served} of {len(counted)} requests were served")
        return served / len(counted) if counted else 0

    before = served_share(named_at - 4, named_at)
    after = served_share(back_at + RECOVERY_S, back_at + RECOVERY_S + COUNTED_S)
    record.write(
        f"versions in use: {[each.version for each in engines]}; the origin "
        f"spoilt {origin.spoilt} of {origin.answers - answers_before} answers"
    )
    if before < 0.25:
        return NOT_RUN
    return BROKEN if after < 0.25 else HELD


run_case(play)
