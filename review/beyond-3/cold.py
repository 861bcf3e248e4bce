"""The worker of one zone crashes and comes back cold under ordinary load."""

import pathlib
import sys
import threading
import time

CASE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "standin-3"))

import ospreysite as osp  # noqa: E402

COLD_START_S = 3.0
COLD_PER_S = 14.0
COLD_OVER = 1.5
COLD_SLACK = 5
BOUND = COLD_PER_S * COLD_OVER + COLD_SLACK
# A rate well above `cold_per_s`, at which a cold worker crashes.
CRASH_RATE = 2 * COLD_PER_S
DOWN_S = 1.5
RATE = 90.0  # Requests a second, 30 for each of three workers.
CONSUMERS = 12


class ColdWorker(osp.Worker):
    """A worker that is cold after a start during traffic, and crashes if it
    then gets requests at a rate well above what it tolerates."""

    def __init__(self, *arguments, **options):
        self.cold_until = 0.0
        self.cold_arrivals = []
        self.crashes = 0
        super().__init__(*arguments, **options)
        self.on_request = ColdWorker.check

    def beat(self):
        left = max(0.0, self.cold_until - time.monotonic())
        self.extra = {"cold_remaining_ms": int(left * 1000)}
        super().beat()

    def restart(self):
        self.cold_until = time.monotonic() + COLD_START_S
        super().restart()

    def check(self, _sock, request):
        now = time.monotonic()
        with self.lock:
            if now >= self.cold_until or not self.is_alive:
                return not self.is_alive
            self.cold_arrivals.append(now)
            recent = sum(now - t < 1 for t in self.cold_arrivals)
        if recent <= CRASH_RATE:
            return False
        self.note_run(request)
        self.crashes += 1
        self.kill()
        raise osp.Closed("crashed")

    def busiest_cold_second(self):
        times = sorted(self.cold_arrivals)
        return max((sum(t <= u < t + 1 for u in times) for t in times),
                   default=0)


def configure(site):
    site.store.put("op/config", {
        "version": 3,
        "routes": [{"name": "confirm", "hostname": "desk.example",
                    "path_prefix": "/confirm/", "kind": "unsafe",
                    "timeout_ms": 1500, "target_latency_ms": 200,
                    "priority": 2, "service": "desk", "max_attempts": 1,
                    "public": False}],
        "services": [{"name": "desk", "health_path": "/healthz",
                      "max_connections": 520, "protocol": "h1", "tls": False,
                      "cold_start_s": COLD_START_S, "cold_per_s": COLD_PER_S}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "tenant-1", "api_keys": ["key-1"],
                     "priority": 1}]})


class Consumers:
    """Consumers on kept connections that together send at a steady rate."""

    def __init__(self, site, entry):
        self.site, self.entry = site, entry
        self.statuses = {}
        self.is_stopped = False
        self.threads = [threading.Thread(target=self.run, args=(index,))
                        for index in range(CONSUMERS)]
        for thread in self.threads:
            thread.start()

    def run(self, index):
        period = CONSUMERS / RATE
        due = time.monotonic() + period * index / CONSUMERS
        client = None
        while not self.is_stopped:
            time.sleep(max(0.0, due - time.monotonic()))
            due += period
            name = self.site.id()
            try:
                client = client or osp.Client(self.entry.front, timeout=3)
                client.send("POST", "/confirm/x",
                            [("Host", "desk.example"), ("X-Request-Id", name),
                             ("X-Request-Deadline", "1500"),
                             ("Api-Key", "key-1")], b"confirm")
                status = client.read("POST").status
            except (OSError, osp.Closed):
                status, client = 0, None
            self.statuses[name] = status
            self.site.record(f"answer {name} {status or 'none'}")

    def stop(self):
        self.is_stopped = True
        for thread in self.threads:
            thread.join(5)


def case(site):
    configure(site)
    workers = [ColdWorker(site.store, site.record, "desk", f"i-{zone}",
                          zone=zone) for zone in site.regions]
    entry = site.entry("edge-1", "127.0.0.11")
    site.await_ready()
    consumers = Consumers(site, entry)
    time.sleep(4)
    fallen = workers[-1]
    if osp.TROUBLE:
        fallen.kill()
        time.sleep(DOWN_S)
        restarted = len(consumers.statuses)
        fallen.restart()
    else:
        time.sleep(DOWN_S)
        restarted = len(consumers.statuses)
    time.sleep(COLD_START_S + 1)
    consumers.stop()
    busiest = fallen.busiest_cold_second()
    run = {name for worker in workers for _, name, _, _, _ in worker.runs}
    later = list(consumers.statuses.items())[restarted:]
    lost = [name for name, status in later if name in run and status != 200]
    text = (f"the cold worker got {busiest} requests in one second, allowed "
            f"are {BOUND:g}; it crashed {fallen.crashes} times, and "
            f"{len(lost)} requests that had begun were not answered")
    site.record(f"found  {text}")
    return f"FAILBACK: {text}" if busiest > BOUND else None


osp.play(CASE / "record.txt", case,
         {"hall-a": "region-a", "hall-b": "region-b", "hall-c": "region-c"})
