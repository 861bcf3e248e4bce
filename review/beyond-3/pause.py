"""A worker that has started again under its id asks at once for a pause."""

import pathlib
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-3"))

import ospreysite as osp  # noqa: E402

RATE = 40.0
DOWN_S = 1.5
PAUSE_S = 4
ALLOWED = 2


class PausingWorker(osp.Worker):
    """Turns away everything for a while after it has started again, and says
    so once."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.asked = None
        self.is_second_start = False
        self.on_request = PausingWorker.check

    def check(self, sock, request):
        if not self.is_second_start:
            return False
        now = time.monotonic()
        fields = [("X-Request-Id", request.field("X-Request-Id")),
                  ("X-Not-Executed", "1")]
        with self.lock:
            if self.asked is None:
                self.asked = now
                fields.append(("Retry-After", str(PAUSE_S)))
        if now >= self.asked + PAUSE_S:
            return False
        self.record(f"503    {self.id} {fields}")
        sock.sendall(osp.encode(osp.status_line(503), fields, b"later"))
        return True


def configure(site):
    site.store.put("op/config", {
        "version": 3,
        "routes": [{"name": "check", "hostname": "desk.example",
                    "path_prefix": "/check/", "kind": "safe",
                    "timeout_ms": 800, "target_latency_ms": 100, "priority": 2,
                    "service": "desk", "max_attempts": 2, "public": False}],
        "services": [{"name": "desk", "health_path": "/healthz",
                      "max_connections": 110, "protocol": "h1", "tls": False,
                      "cold_start_s": 0.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"],
                     "priority": 1}]})


def consume(site, entry, stopped):
    began, count = time.monotonic(), 0
    while not stopped.is_set():
        threading.Thread(target=ask, args=(site, entry), daemon=True).start()
        count += 1
        time.sleep(max(0.0, began + count / RATE - time.monotonic()))


def ask(site, entry):
    name = site.id()
    try:
        status = osp.call(
            entry.front, "GET", "/check/status",
            [("Host", "desk.example"), ("X-Request-Id", name),
             ("X-Request-Deadline", "1500"), ("Api-Key", "key-1")],
            timeout=3).status
    except (OSError, osp.Closed):
        status = "none"
    site.record(f"answer {name} {status}")


def case(site):
    configure(site)
    worker = PausingWorker(site.store, site.record, "desk", "i-1")
    entry = site.entry("edge-1", "127.0.0.11")
    site.await_ready()
    stopped = threading.Event()
    threading.Thread(target=consume, args=(site, entry, stopped),
                     daemon=True).start()
    time.sleep(2)
    if osp.TROUBLE:
        worker.kill()
        time.sleep(DOWN_S)
    worker.is_second_start = True
    if osp.TROUBLE:
        worker.restart()
    time.sleep(PAUSE_S + 2)
    stopped.set()
    if worker.asked is None:
        raise osp.CannotRun("the worker got no request")
    arrived = [name for at, name in worker.arrivals
               if worker.asked + 0.5 < at < worker.asked + PAUSE_S]
    text = (f"{len(arrived)} requests reached the worker in its pause, "
            f"{ALLOWED} are allowed")
    return f"BUDGET: {text}" if len(arrived) > ALLOWED else None


osp.play(CASE / "record.txt", case)
