"""A piece turns bad while a slow engine's pieces are compared."""

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
    call,
    now,
    run_case,
)

ENGINES = 7
# Time in which an engine reads a staged piece; the slow one takes four times
# as long.
READ_S = 0.014
SLOW_FACTOR = 4
SPOILT_AFTER_S = 0.05


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
    for each in engines:
        each.read_s = READ_S
    if TROUBLE:
        victim.read_s = READ_S * SLOW_FACTOR
    progress = {"staged": 0, "is_spoilt": False}

    def on_stage(_):
        progress["staged"] += 1

    def on_read(index):
        # Only what is read after the staging is compared before an order.
        if progress["staged"] < engine.CHUNKS or progress["is_spoilt"]:
            return
        progress["is_spoilt"] = True
        record.write(f"{victim.id}: staged piece {index} is read and compared")
        if TROUBLE:
            threading.Timer(SPOILT_AFTER_S, victim.spoil, (index,)).start()

    victim.on_stage = on_stage
    victim.on_read = on_read
    store.put(
        f"op/version/{engine.MODEL}", {"model": engine.MODEL, "version": 2}
    )
    record.write("version 2 is named")
    until = now() + 40
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
