"""An agent's machine freezes in the comparison before the order."""

import os
import signal
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
    call,
    now,
    run_case,
)

FREEZE_S = 4.0  # As long as the site file's `node_freeze` on side machines.
ENGINES = 3
READ_BEFORE_FREEZE = 40  # Of 64 pieces.


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


def request(number, entry, deployment, record):
    name = f"{number:016x}"
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
                "X-Prompt-Prefix": f"5c1e07a2:40,{number:x}:10",
                "X-Request-Deadline": "6000",
            },
            7,
        )
    except OSError as problem:
        record.write(f"request {name}: no answer ({problem})")
        return
    record.write(
        f"request {name}: answered {reply.status} on version "
        f"{reply.fields.get('x-weight-versions')}"
    )


def play(deployment, record):
    origin = engine.Origin()
    store = deployment.store
    store.put("op/config", configuration(origin))
    store.put(
        f"op/version/{engine.MODEL}", {"model": engine.MODEL, "version": 1}
    )
    engines = [
        engine.Engine(store, number, "reader", "obihiro-hall", record)
        for number in range(1, ENGINES + 1)
    ]
    for number in (1, 2):
        deployment.start_entry(number)
    for number, each in enumerate(engines, 1):
        deployment.start_agent(
            f"side-{number}", each.host, "reader", each.address
        )
    if not deployment.await_ready((1, 2)):
        return NOT_RUN
    time.sleep(5)

    victim = engines[0]
    progress = {"staged": 0, "read": 0, "is_frozen": False, "done": False}

    def on_stage(_):
        progress["staged"] += 1
        progress["read"] = 0

    def on_read(index):
        # The first comparison after staging is not the last one.
        if progress["staged"] < engine.CHUNKS or progress["is_frozen"]:
            return
        progress["read"] += 1
        if progress["read"] == 1:
            progress["first"] = index
        if progress["read"] < engine.CHUNKS + READ_BEFORE_FREEZE:
            return
        progress["is_frozen"] = True
        if not TROUBLE:
            return
        deployment.send_signal("side-1", signal.SIGSTOP)
        record.write("the agent of i-00000001 is frozen")
        threading.Timer(0.1, victim.spoil, (progress["first"],)).start()

        def wake():
            deployment.send_signal("side-1", signal.SIGCONT)
            record.write("the agent of i-00000001 goes on")

        threading.Timer(0.1 + FREEZE_S, wake).start()

    victim.on_stage = on_stage
    victim.on_read = on_read
    store.put(
        f"op/version/{engine.MODEL}", {"model": engine.MODEL, "version": 2}
    )
    record.write("version 2 is named")
    until = now() + 30
    number = 0
    while now() < until and any(each.version != 2 for each in engines):
        number += 1
        request(number, number % 2 + 1, deployment, record)
        time.sleep(0.2)
    if any(each.version != 2 for each in engines):
        record.write("an engine has not taken version 2")
        return NOT_RUN
    time.sleep(1)
    for _ in range(30):
        number += 1
        request(number, number % 2 + 1, deployment, record)
    made = sum(each.tokens_on_spoilt_layers for each in engines)
    record.write(f"tokens made on layers taken from spoilt pieces: {made}")
    return BROKEN if made > 0 else HELD


run_case(play)
