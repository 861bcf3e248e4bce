"""A small deployment on loopback addresses: store, workers, clients and the
entries of ospreystage, started by the run lines of the deploy file."""

import base64
import hashlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MAC_KEY = b"stand-in"

# Bounds of the pages, as the settings of the smallest deployments state them.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
    "strict_revoke": "false", "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_slack": 104, "recovery_s": 12,
    "pass_ms": 120, "retry_after_s": 0, "version_ms": 8000,
    "version_all_ms": 0, "ttl_max_s": 5,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to a file of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def is_free(port, hosts):
    """Returns true if a port is free on all hosts, by TCP and by UDP."""
    for host in hosts:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(type=kind) as probe:
                try:
                    probe.bind((host, port))
                except OSError:
                    return False
    return True


def free_internal_ports(hosts, count=16):
    """Returns the first of some ports in a row that are free on all hosts."""
    for _ in range(200):
        first = free_port()
        if first + count < 65535 and \
                all(is_free(first + i, hosts) for i in range(count)):
            return first
    raise CannotRun("no free ports")


def mac_of(body):
    return hashlib.sha256(MAC_KEY + body).hexdigest()


# ---- HTTP --------------------------------------------------------------------


class Closed(Exception):
    """The peer closed or reset the connection."""


class Stream:
    """Buffered reads from a socket."""

    def __init__(self, sock, data=b""):
        self.sock = sock
        self.data = data

    def fill(self):
        try:
            part = self.sock.recv(65536)
        except (ConnectionError, OSError) as problem:
            if isinstance(problem, socket.timeout):
                raise
            raise Closed("reset") from problem
        if not part:
            raise Closed("closed")
        self.data += part

    def until(self, mark):
        while mark not in self.data:
            self.fill()
        head, _, self.data = self.data.partition(mark)
        return head

    def exactly(self, count):
        while len(self.data) < count:
            self.fill()
        part, self.data = self.data[:count], self.data[count:]
        return part

    def rest(self):
        try:
            while True:
                self.fill()
        except Closed:
            part, self.data = self.data, b""
            return part


class Message:
    """The head and body of a request or an answer."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def field(self, name, default=""):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first.split(" ")[1])


def read_head(stream):
    lines = stream.until(b"\r\n\r\n").decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name.strip(), value.strip()))
    return Message(lines[0], fields)


def read_chunks(stream):
    body = b""
    while True:
        size = int(stream.until(b"\r\n").split(b";")[0], 16)
        body += stream.exactly(size)
        if size == 0:
            while stream.until(b"\r\n"):
                pass
            return body
        stream.exactly(2)


def read_request(stream):
    message = read_head(stream)
    if message.field("Expect"):
        stream.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
    if message.field("Transfer-Encoding").lower() == "chunked":
        message.body = read_chunks(stream)
    elif message.field("Content-Length"):
        message.body = stream.exactly(int(message.field("Content-Length")))
    return message


def read_answer(stream, method="GET"):
    """Reads an answer as RFC 9112 frames it."""
    message = read_head(stream)
    if not message.first.startswith("HTTP/1.1 "):
        raise ValueError(f"no answer: {message.first[:80]!r}")
    if message.status < 200:
        return read_answer(stream, method)
    if method == "HEAD" or message.status in (204, 304):
        return message
    if message.field("Transfer-Encoding").lower() == "chunked":
        message.body = read_chunks(stream)
    elif message.field("Content-Length"):
        message.body = stream.exactly(int(message.field("Content-Length")))
    else:
        message.body = stream.rest()
    return message


def encode(first, fields, body=b"", length=True):
    lines = [first] + [f"{name}: {value}" for name, value in fields]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


REASONS = {200: "OK", 202: "Accepted", 404: "Not Found", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def status_line(status):
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"


class Server:
    """Accepts connections, each served by a thread."""

    def __init__(self, host="127.0.0.1", port=0):
        self.address = (host, port)
        self.lock = threading.RLock()
        self.listener = None
        self.connections = set()
        self.start()

    def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(256)
        self.address = listener.getsockname()
        self.listener = listener
        threading.Thread(target=self.accept, args=(listener,),
                         daemon=True).start()

    @property
    def text(self):
        return f"{self.address[0]}:{self.address[1]}"

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(sock)
            threading.Thread(target=self.run, args=(sock,),
                             daemon=True).start()

    def run(self, sock):
        try:
            self.serve(sock, Stream(sock))
        except (Closed, OSError, ValueError):
            pass
        finally:
            with self.lock:
                self.connections.discard(sock)
            sock.close()

    def serve(self, sock, stream):
        raise NotImplementedError

    def stop(self, reset=False):
        """Ends as a killed process does: the kernel closes its sockets."""
        listener, self.listener = self.listener, None
        if listener:
            try:
                listener.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            listener.close()
        with self.lock:
            open_now, self.connections = list(self.connections), set()
        for sock in open_now:
            try:
                if reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    b"\1\0\0\0\0\0\0\0")
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()


# ---- The platform's store --------------------------------------------------


class Store(Server):
    """Keys, listings, watches, transactions and leases."""

    def __init__(self):
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 1
        self.is_down = False
        self.changed = threading.Condition()
        super().__init__()
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0):
        if not isinstance(value, (bytes, str)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        with self.changed:
            self.revision += 1
            created = self.items.get(key, {}).get("create_rev", self.revision)
            self.items[key] = {
                "key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision, "create_rev": created,
                "lease": lease}
            self.history.append(dict(self.items[key]))
            self.changed.notify_all()

    def remove(self, key):
        with self.changed:
            if self.items.pop(key, None) is None:
                return
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})
            self.changed.notify_all()

    def keys(self, prefix):
        with self.changed:
            return [key for key in self.items if key.startswith(prefix)]

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [k for k, v in self.leases.items()
                              if v["end"] < now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, v in self.items.items() if v["lease"] == lease]:
            self.remove(key)

    def serve(self, sock, stream):
        while True:
            request = read_request(stream)
            if self.is_down:
                return
            status, body = self.answer(request)
            sock.sendall(encode(status_line(status),
                                [("Content-Type", "application/json"),
                                 ("Store-Era", "1")],
                                json.dumps(body).encode()))

    def answer(self, request):
        method, target, _ = request.first.split(" ")
        path, _, query = target.partition("?")
        values = {k: v[-1] for k, v in
                  urllib.parse.parse_qs(query, keep_blank_values=True).items()}
        body = json.loads(request.body) if request.body else {}
        if path == "/v1/kv-watch":
            return self.watch(values)
        with self.changed:
            if path == "/v1/kv-key":
                item = self.items.get(values["key"])
                if item is None:
                    return 404, {"store_revision": self.revision}
                return 200, dict(item, store_revision=self.revision)
            if path == "/v1/kv-range":
                found = sorted(
                    (v for k, v in self.items.items()
                     if k.startswith(values["path_prefix"]) and
                     k > values.get("after", "")), key=lambda v: v["key"])
                return 200, {"items": found[:500], "has_more": len(found) > 500,
                             "store_revision": self.revision}
            if path == "/v1/kv-txn":
                return self.transact(body)
            if path == "/v1/kv-lease":
                lease, self.next_lease = self.next_lease, self.next_lease + 1
                life = max(1000, int(body["ttl_ms"]))
                self.leases[lease] = {"life": life / 1000,
                                      "end": time.monotonic() + life / 1000}
                return 200, {"lease": lease, "ttl_ms": life}
            number = int(path.rsplit("/", 1)[1])
            if number not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(number)
                return 200, {}
            lease = self.leases[number]
            lease["end"] = time.monotonic() + lease["life"]
            return 200, {"ttl_ms": int(lease["life"] * 1000)}

    def transact(self, body):
        rows = body.get("precondition", [])
        for row in rows:
            if self.items.get(row["key"], {}).get("revision", 0) != \
                    row["revision"]:
                return 412, {"items": [self.items[r["key"]] for r in rows
                                       if r["key"] in self.items]}
        for item in body.get("set_keys", []):
            if item.get("lease") and item["lease"] not in self.leases:
                return 404, {}
        for item in body.get("set_keys", []):
            self.put(item["key"], base64.b64decode(item["value"]),
                     item.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}

    def watch(self, values):
        end = time.monotonic() + int(values["wait_ms"]) / 1000
        after = int(values["after"])
        with self.changed:
            while True:
                events = [event for event in self.history
                          if event["revision"] > after and
                          event["key"].startswith(values["path_prefix"])]
                left = end - time.monotonic()
                if events or left <= 0 or self.is_down:
                    return 200, {"events": events,
                                 "store_revision": self.revision}
                self.changed.wait(left)


# ---- Workers -----------------------------------------------------------------


class Worker(Server):
    """A worker of a plain service. `on_request` may replace how it answers."""

    def __init__(self, store, record, service, worker_id, zone="hall-a",
                 work_s=0.015, slots=6, host="127.0.0.1"):
        self.store = store
        self.record = record
        self.service = service
        self.id = worker_id
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.runs = []
        self.arrivals = []
        self.on_request = None
        self.state = "ready"
        self.extra = {}
        self.sequence = 0
        self.is_alive = True
        super().__init__(host)
        self.born = int(time.time() * 1000)
        self.beat()
        threading.Thread(target=self.beats, daemon=True).start()

    def beat(self):
        self.sequence += 1
        self.store.put(f"servers/{self.id}", {
            "service": self.service, "address": self.text, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state,
            "cold_remaining_ms": 0, "sequence": self.sequence,
            "born": self.born, **self.extra})

    def beats(self):
        while True:
            time.sleep(1.2)
            if self.is_alive:
                self.beat()

    def kill(self):
        self.is_alive = False
        self.record(f"worker {self.id} killed")
        self.stop()

    def restart(self):
        """Starts again under the same id and address."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.start()
        self.is_alive = True
        self.record(f"worker {self.id} started again")
        self.beat()

    def fields(self, request, body):
        return [("X-Request-Id", request.field("X-Request-Id")),
                ("X-Server-Stamp", f"{self.id}.{mac_of(body)[:16]}"),
                ("X-Body-Mac", mac_of(body))]

    def note_run(self, request):
        method, target, _ = request.first.split(" ")
        with self.lock:
            self.runs.append((time.monotonic(),
                              request.field("X-Request-Id"), method, target,
                              request.body))
        self.record(f"run    {self.id} {request.field('X-Request-Id')} "
                    f"{method} {target} body={len(request.body)}")

    def serve(self, sock, stream):
        while True:
            request = read_request(stream)
            with self.lock:
                self.arrivals.append((time.monotonic(),
                                      request.field("X-Request-Id")))
            expected = request.field("X-Expect-Instance")
            if expected and expected != self.id:
                sock.sendall(encode(
                    status_line(421),
                    [("X-Request-Id", request.field("X-Request-Id")),
                     ("X-Not-Executed", "1"), ("X-Instance-Id", self.id)]))
                continue
            if self.on_request and self.on_request(self, sock, request):
                continue
            self.note_run(request)
            time.sleep(self.work_s)
            self.reply(sock, request)

    def reply(self, sock, request, status=200, more=()):
        method = request.first.split(" ")[0]
        body = (f"{self.id} answers {request.field('X-Request-Id')} " +
                "x" * 200).encode()
        answer = encode(status_line(status),
                        self.fields(request, body) + list(more), body)
        if method == "HEAD":
            answer = answer[:-len(body)]
        sock.sendall(answer)


# ---- Entries -----------------------------------------------------------------


def run_line(role):
    """Returns the command of a role of the deploy file."""
    section = ""
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if line.startswith("["):
            section = line.strip("[] ")
        name, _, value = line.partition("=")
        if section == f"roles.{role}" and name.strip() == "run":
            return value.strip().strip('"').split(" ")
    raise CannotRun(f"no role {role}")


class Entry:
    """A process of the role `entry` on an address of its own."""

    def __init__(self, site, name, host, zone="hall-a", settings=None):
        self.site = site
        self.name = name
        self.host = host
        self.front = (host, free_port(host))
        self.ready = (host, free_port(host))
        self.directory = (host, free_port(host))
        self.file = site.folder / f"{name}.conf"
        lines = {
            "node": name, "role": "entry", "machine_class": "edge",
            "serves": "edge,directory", "ip": host, "zone": zone,
            "region": site.regions[zone],
            **{f"zones.{z}": r for z, r in site.regions.items()},
            "listen.front": "%s:%d" % self.front,
            "listen.ready": "%s:%d" % self.ready,
            "listen.directory": "%s:%d" % self.directory,
            "internal_ports": f"{site.port},{site.port + 15}",
            "bootstrap": "true", "limits.cpu_share": 0.25,
            "limits.cores": 1, "limits.memory_mb": 260,
            "limits.max_fds": 4100, "limits.link_mbps": 1000.0,
            "limits.disk_mb": 0, "discovery": "platform",
            "entry": "directory", "heartbeat_ms": 1200,
            **{f"bounds.{k}": v for k, v in BOUNDS.items()},
            "platform.address": site.store.text, "platform.form": "kv",
            "platform.writes_per_s": 400, "platform.reads_per_s": 2000,
            "platform.history_s": 20, "platform.value_bytes": 1048576,
            "platform.ttl_min_ms": 1000, **dict(settings or {})}
        self.file.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        self.process = None
        self.start()

    def start(self):
        command = run_line("entry")
        program = ROOT / command[0]
        if not program.exists():
            raise CannotRun(f"{command[0]} is not built")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["OSPREYSTAGE_NODE_FILE"] = str(self.file)
        with open(self.site.folder / f"{self.name}.log", "ab") as log:
            self.process = self.site.spawn(
                [str(program)] + command[1:], cwd=ROOT, env=environment,
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.site.record(f"entry {self.name} started")

    def signal(self, number):
        self.site.record(f"entry {self.name} gets signal {number}")
        self.process.send_signal(number)

    def is_ready(self):
        try:
            answer = call(self.ready, "GET", "/v1/readyz",
                          [("Host", "ready.example")], timeout=1)
        except (OSError, Closed, ValueError):
            return False
        return answer.status == 200

    def log(self):
        return (self.site.folder / f"{self.name}.log").read_text(
            errors="replace")


class Client:
    """A connection of a consumer."""

    def __init__(self, address, timeout=10):
        self.sock = socket.create_connection(address, timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = Stream(self.sock)

    def send(self, method, target, fields, body=b""):
        self.sock.sendall(encode(f"{method} {target} HTTP/1.1", fields, body,
                                 length=bool(body) or method == "POST"))

    def read(self, method="GET"):
        return read_answer(self.stream, method)

    def close(self):
        self.sock.close()


def call(address, method, target, fields=(), body=b"", timeout=10):
    client = Client(address, timeout)
    try:
        client.send(method, target, list(fields) + [("Connection", "close")],
                    body)
        return client.read(method)
    finally:
        client.close()


class Site:
    """The whole deployment; ends every process that it started."""

    # Entries get the addresses 127.0.0.11 and the next ones.
    HOSTS = [f"127.0.0.{number}" for number in range(11, 15)]

    def __init__(self, record, regions=None):
        self.record = Record(record)
        self.processes = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="ospreystage-"))
        self.regions = regions or {"hall-a": "region-a"}
        self.port = free_internal_ports(self.HOSTS)
        self.store = Store()
        self.entries = []
        self.next_request = 0
        self.lock = threading.Lock()

    def spawn(self, command, **options):
        """Starts a process that ends with the deployment at the latest."""
        process = subprocess.Popen(command, **options)
        self.processes.append(process)
        return process

    def entry(self, name, host, zone="hall-a", settings=None):
        entry = Entry(self, name, host, zone, settings)
        self.entries.append(entry)
        return entry

    def await_ready(self, entries=None, limit=15):
        end = time.monotonic() + limit
        while not all(e.is_ready() for e in entries or self.entries):
            if time.monotonic() > end:
                raise CannotRun("an entry did not become ready")
            time.sleep(0.1)

    def id(self, prefix="q"):
        with self.lock:
            self.next_request += 1
            return f"{prefix}{self.next_request:06d}"

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.store.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


# Exit codes of a script. Python ends with 1 itself if it can't load a script, so
# that a broken rule has another code; run.sh turns it into 1.
HELD, CANNOT_RUN, BROKEN = 0, 2, 10


def stop(*_):
    raise SystemExit(CANNOT_RUN)


def play(record, case, regions=None):
    """Plays a case with its record in the file `record`, and exits."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stop)
    code = CANNOT_RUN
    site = Site(record, regions)
    try:
        broken = case(site)
        text = broken or "the rule held"
        site.record(f"result: {text}")
        print(f"trouble={int(TROUBLE)}: {text}")
        code = BROKEN if broken else HELD
    except (Exception, SystemExit) as problem:  # No verdict.
        site.record(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
    finally:
        site.close()
    sys.stdout.flush()
    # Threads that still wait for an answer do not delay the end.
    os._exit(code)
