"""An entry gets SIGTERM; consumers whose directory answer is three seconds old
still send it requests, which last some seconds."""

import collections
import pathlib
import signal
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-3"))

import ospreysite as osp  # noqa: E402

EVENTS = 22
GAP_S = 0.25  # A stream lasts 5.5 s, its route allows 6 s.
CONSUMERS = 300
FIRST_S, LAST_S = 2.9, 3.2  # The consumers send one after the other.
# The rule excuses what is sent up to 3 s after SIGTERM. The signal is sent some
# tenths of a millisecond after the time that is taken for it.
EXCUSED_S = 3.002


class StreamWorker(osp.Worker):
    """A worker that also writes streams in chunks."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.on_request = StreamWorker.stream

    def stream(self, sock, request):
        if not request.first.startswith("POST /read/"):
            return False
        name = request.field("X-Request-Id")
        self.note_run(request)
        sock.sendall(osp.encode(osp.status_line(200), [
            ("X-Request-Id", name), ("X-Server-Stamp", f"{self.id}.{name}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")], length=False))
        for event in range(1, EVENTS + 1):
            text = f"id: {event}\ndata: piece {event}\n\n".encode()
            sock.sendall(b"%x\r\n%b\r\n" % (len(text), text))
            time.sleep(GAP_S)
        sock.sendall(b"0\r\n\r\n")
        return True


def configure(site):
    def route(name, prefix, kind, timeout_ms):
        return {"name": name, "hostname": "reader.example",
                "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
                "target_latency_ms": 400, "target_gap_ms": 400, "priority": 1,
                "service": "reader", "max_attempts": 1, "public": False,
                "stream_resume": False}
    site.store.put("op/config", {
        "version": 3,
        "routes": [route("read", "/read/", "streaming", 6000),
                   route("check", "/check/", "safe", 800)],
        "services": [{"name": "reader", "health_path": "/healthz",
                      "max_connections": 1000, "protocol": "h1", "tls": False,
                      "cold_start_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"],
                     "priority": 1}]})


def fields(name):
    return [("Host", "reader.example"), ("X-Request-Id", name),
            ("X-Request-Deadline", "6000"), ("Api-Key", "key-1")]


def connect(site, entry):
    """Returns a kept connection that has carried a request before."""
    client = osp.Client(entry.front, timeout=12)
    client.send("GET", "/check/status", fields(site.id("first-")))
    client.read()
    return client


def read(site, client, name, sent, results):
    try:
        outcome = str(client.read("POST").status)
    except osp.Closed:
        outcome = "cut"
    site.record(f"answer {name} {outcome}, sent {sent:.3f} s after the signal")
    results[name] = (sent, outcome)


def case(site):
    configure(site)
    workers = [StreamWorker(site.store, site.record, "reader", f"i-{index}",
                            slots=200) for index in range(4)]
    entry = site.entry("edge-1", "127.0.0.11")
    site.await_ready()
    clients = [connect(site, entry) for _ in range(CONSUMERS)]
    began = time.monotonic()
    if osp.TROUBLE:
        entry.signal(signal.SIGTERM)
    results, readers = {}, []
    for index, client in enumerate(clients):
        due = began + FIRST_S + (LAST_S - FIRST_S) * index / CONSUMERS
        time.sleep(max(0.0, due - time.monotonic()))
        name, sent = site.id("read-"), time.monotonic() - began
        try:
            client.send("POST", "/read/slip", fields(name), b"slip")
        except OSError:
            continue  # The entry has closed the connection before.
        readers.append(threading.Thread(
            target=read, args=(site, client, name, sent, results)))
        readers[-1].start()
    for reader in readers:
        reader.join(15)
    run = {name for worker in workers for _, name, _, _, _ in worker.runs}
    begun = {name: result for name, result in results.items() if name in run}
    found = collections.Counter(
        ("excused" if sent <= EXCUSED_S else "not excused", outcome)
        for sent, outcome in begun.values())
    site.record(f"found  of those that had begun: {dict(found)}")
    if not osp.TROUBLE and any(o != "200" for _, o in results.values()):
        raise osp.CannotRun("streams are cut without the trouble")
    lost = sorted((sent, name) for name, (sent, outcome) in begun.items()
                  if outcome == "cut" and sent > EXCUSED_S)
    if lost:
        return (f"LOST: {len(lost)} streams that were sent {lost[0][0]:.3f} to "
                f"{lost[-1][0]:.3f} s after SIGTERM were begun by a worker and "
                "cut while it went on")
    return None


osp.play(CASE / "record.txt", case)
