"""Stand-ins of the platform, of backend servers and of callers for the cases
of the second review, and the start of the project's own processes.

All of it runs on loopback addresses. The platform's store follows the metadata
store of PROTOCOL.md; a server echoes request ids, checks the instance that a
request expects and registers itself with heartbeats.
"""

import base64
import http.server
import json
import os
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse

REPOSITORY = os.path.dirname(
    os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
)
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Zones of the site tokachi-ledger and their regions.
ZONES = {
    "obihiro-hall": "doto",
    "asahikawa-hall": "dohoku",
    "sapporo-hall": "doo",
}
# Exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    """Returns the steady time in seconds."""
    return time.monotonic()


def free_ports(count, host="127.0.0.1"):
    """Returns ports that are free on `host`."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((host, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Record:
    """Writes what was sent, answered and run to `record.txt`, in order."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.began = now()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now() - self.began:9.3f} s  {text}\n")


class HttpHandler(http.server.BaseHTTPRequestHandler):
    """Answers in one write, so that answers are not delayed."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", fields=()):
        if isinstance(body, (dict, list)):
            body = json.dumps(body).encode()
        self.send_response_only(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def handle(self):
        try:
            super().handle()
        except (ConnectionError, TimeoutError):
            pass


class HttpServer(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handler, owner):
        self.owner = owner
        super().__init__(address, handler)
        self.thread = threading.Thread(
            target=self.serve_forever, args=(0.02,), daemon=True
        )
        self.thread.start()

    def handle_error(self, *_):
        pass


# ---- Store ------------------------------------------------------------------


class Store:
    """The platform's metadata store: items, watches, transactions, leases."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 1000
        self.era = 1
        self.is_away = False
        self.copy = None
        self.port = free_ports(1)[0]
        self.server = HttpServer(("127.0.0.1", self.port), StoreHandler, self)
        threading.Thread(target=self.expire, daemon=True).start()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def put(self, key, value):
        if not isinstance(value, (bytes, str)):
            value = json.dumps(value)
        if isinstance(value, str):
            value = value.encode()
        with self.changed:
            self.set(key, base64.b64encode(value).decode(), 0)
            self.changed.notify_all()

    def delete(self, key):
        with self.changed:
            self.remove(key)
            self.changed.notify_all()

    def has(self, key):
        with self.changed:
            return key in self.items

    def keys(self, prefix):
        with self.changed:
            return [key for key in self.items if key.startswith(prefix)]

    def set(self, key, encoded, lease):
        self.revision += 1
        created = self.items.get(key, {}).get("create_rev", self.revision)
        self.items[key] = {
            "key": key,
            "value": encoded,
            "revision": self.revision,
            "create_rev": created,
            "lease": lease,
        }
        self.history.append(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.history.append(
            {"key": key, "revision": self.revision, "deleted": True}
        )

    def keep_copy(self):
        """Keeps the copy from which the store returns after a drill."""
        with self.changed:
            self.copy = (
                {key: dict(item) for key, item in self.items.items()},
                list(self.history),
                self.revision,
                dict(self.leases),
                self.next_lease,
            )

    def return_to_copy(self, away_s):
        """Plays a drill: the store is away for a moment and returns from the
        copy. Leases that the copy has run anew."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()
        time.sleep(away_s)
        with self.changed:
            items, self.history, self.revision, leases, next_lease = self.copy
            self.items, self.next_lease = items, next_lease
            self.leases = {
                lease: (ttl, now() + ttl / 1000)
                for lease, (ttl, _) in leases.items()
            }
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [
            key for key, item in self.items.items() if item["lease"] == lease
        ]:
            self.remove(key)

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                ended = [
                    lease
                    for lease, (_, until) in self.leases.items()
                    if until < now()
                ]
                for lease in ended:
                    self.end_lease(lease)
                if ended:
                    self.changed.notify_all()


class StoreHandler(HttpHandler):
    def reply(self, status, body):
        self.answer(
            status,
            body,
            [
                ("Content-Type", "application/json"),
                ("Store-Era", str(self.server.owner.era)),
            ],
        )

    def is_refused(self):
        """Answers 503 while the store is away."""
        if not self.server.owner.is_away:
            return False
        self.body()
        self.reply(503, {})
        return True

    def query(self):
        url = urllib.parse.urlsplit(self.path)
        fields = urllib.parse.parse_qs(url.query, keep_blank_values=True)
        return url.path, {name: values[0] for name, values in fields.items()}

    def do_GET(self):
        if self.is_refused():
            return
        store = self.server.owner
        path, query = self.query()
        if path == "/v1/kv-key":
            with store.changed:
                item = store.items.get(query.get("key", ""))
                revision = store.revision
            if item is None:
                self.reply(404, {"store_revision": revision})
            else:
                self.reply(200, {**item, "store_revision": revision})
        elif path == "/v1/kv-range":
            prefix, after = query.get("path_prefix", ""), query.get("after", "")
            with store.changed:
                found = [
                    store.items[key]
                    for key in sorted(store.items)
                    if key.startswith(prefix) and key > after
                ]
                revision = store.revision
            self.reply(
                200,
                {
                    "items": found[:500],
                    "has_more": len(found) > 500,
                    "store_revision": revision,
                },
            )
        elif path == "/v1/kv-watch":
            self.watch(store, query)
        else:
            self.reply(404, {})

    def watch(self, store, query):
        prefix = query.get("path_prefix", "")
        after = int(query.get("after", "0"))
        until = now() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        with store.changed:
            era = store.era
            while True:
                if store.is_away or store.era != era or after > store.revision:
                    events = None
                    break
                events = [
                    event
                    for event in store.history
                    if event["revision"] > after
                    and event["key"].startswith(prefix)
                ]
                if events or now() >= until:
                    break
                store.changed.wait(until - now())
            revision = store.revision
            is_away = store.is_away
        if events is None:
            self.reply(503 if is_away else 410, {})
        else:
            self.reply(200, {"events": events, "store_revision": revision})

    def do_POST(self):
        if self.is_refused():
            return
        store = self.server.owner
        path, _ = self.query()
        body = self.body()
        message = json.loads(body) if body else {}
        if path == "/v1/kv-txn":
            self.transact(store, message)
        elif path == "/v1/kv-lease":
            ttl = message["ttl_ms"]
            with store.changed:
                store.next_lease += 1
                lease = store.next_lease
                store.leases[lease] = (ttl, now() + ttl / 1000)
            self.reply(200, {"lease": lease, "ttl_ms": ttl})
        elif path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            with store.changed:
                is_known = lease in store.leases
                if is_known:
                    ttl = store.leases[lease][0]
                    store.leases[lease] = (ttl, now() + ttl / 1000)
            self.reply(200 if is_known else 404, {})
        else:
            self.reply(404, {})

    def transact(self, store, message):
        with store.changed:
            conditions = message.get("precondition") or []
            failed = any(
                store.items.get(row["key"], {}).get("revision", 0)
                != row["revision"]
                for row in conditions
            )
            writes = message.get("set_keys") or []
            lacks_lease = any(
                row.get("lease", 0) and row["lease"] not in store.leases
                for row in writes
            )
            if not failed and not lacks_lease:
                for row in writes:
                    store.set(row["key"], row["value"], row.get("lease", 0))
                for key in message.get("remove") or []:
                    store.remove(key)
                store.changed.notify_all()
            revision = store.revision
        if failed:
            self.reply(412, {"items": []})
        elif lacks_lease:
            self.reply(404, {})
        else:
            self.reply(200, {"revision": revision})

    def do_DELETE(self):
        if self.is_refused():
            return
        store = self.server.owner
        lease = int(self.path.rsplit("/", 1)[1])
        with store.changed:
            is_known = lease in store.leases
            store.end_lease(lease)
            store.changed.notify_all()
        self.reply(200 if is_known else 404, {})


# ---- Backend servers --------------------------------------------------------


class Registration:
    """Writes the entry of a server at each heartbeat."""

    def __init__(self, store, server_id, describe, heartbeat_s=1.2):
        self.key = f"servers/{server_id}"
        self.store = store
        self.describe = describe
        self.heartbeat_s = heartbeat_s
        self.is_cut = False
        self.count = 0
        self.beat()
        threading.Thread(target=self.run, daemon=True).start()

    def beat(self):
        self.count += 1
        self.store.put(self.key, {**self.describe(), "sequence": self.count})

    def run(self):
        """Beats, and lets the entry lapse after three silent intervals."""
        silent = 0
        while True:
            time.sleep(self.heartbeat_s)
            if not self.is_cut:
                silent = 0
                self.beat()
                continue
            silent += 1
            if silent == 3:
                self.store.delete(self.key)


class PlainServer:
    """A server of a plain service. `work` gets the request's id, method, path
    and fields, and returns status, body and further fields."""

    def __init__(self, store, number, service, zone, work, record, slots=6):
        self.id = f"i-{number:08x}"
        self.host = f"127.0.2.{number}"
        self.port = free_ports(1, self.host)[0]
        self.work = work
        self.record = record
        self.born = int(time.time() * 1000)
        self.server = HttpServer((self.host, self.port), PlainHandler, self)
        self.registration = Registration(
            store,
            self.id,
            lambda: {
                "service": service,
                "address": f"{self.host}:{self.port}",
                "zone": zone,
                "version": "v1",
                "slots": slots,
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": self.born,
            },
        )


class PlainHandler(HttpHandler):
    def serve(self):
        server = self.server.owner
        body = self.body()
        request = self.headers.get("X-Request-Id") or ""
        echo = [("X-Request-Id", request), ("X-Instance-Id", server.id)]
        if self.path == "/healthz":
            self.answer(200, b"", echo)
            return
        if self.headers.get("X-Expect-Instance") not in (None, server.id):
            self.answer(421, b"", echo)
            return
        status, content, fields = server.work(
            server, request, self.command, self.path, self.headers, body
        )
        self.answer(status, content, echo + list(fields))

    do_GET = serve
    do_POST = serve


# ---- The project's own processes --------------------------------------------


class Deployment:
    """Entries and agents, started with the commands of the deploy file."""

    def __init__(self, case_folder):
        self.folder = tempfile.mkdtemp(prefix="ospreystage-review-")
        self.case_folder = case_folder
        self.store = Store()
        self.children = {}
        self.zones = {}  # Of processes that are not in the first zone.
        with open(f"{REPOSITORY}/deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.front, self.ready, first = free_ports(3)
        # Ten neighbouring ports for the traffic between the processes.
        self.internal = first if first < 60000 else first - 1000

    @staticmethod
    def place(zone):
        fields = {f"zones.{name}": region for name, region in ZONES.items()}
        return {"zone": zone, "region": ZONES[zone], **fields}

    def settings(self, name, host, extra):
        lines = {
            "node": name,
            "ip": host,
            **self.place(self.zones.get(name, "obihiro-hall")),
            "internal_ports": f"{self.internal},{self.internal + 15}",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1200",
            "bounds.contact_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "100",
            "bounds.version_ms": "8000",
            "bounds.ttl_max_s": "5",
            "platform.address": self.store.address,
            "platform.ttl_min_ms": "1000",
            **extra,
        }
        path = os.path.join(self.folder, f"{name}.conf")
        with open(path, "w") as file:
            file.writelines(f"{key}={value}\n" for key, value in lines.items())
        return path

    def start(self, name, role, path):
        command = self.roles[role]["run"].split(" ")
        log = open(os.path.join(self.folder, f"{name}.log"), "a")
        self.children[name] = (
            subprocess.Popen(
                [os.path.join(REPOSITORY, command[0])] + command[1:],
                cwd=REPOSITORY,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "OSPREYSTAGE_NODE_FILE": path,
                },
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            ),
            role,
            path,
        )

    def start_entry(self, number):
        name, host = f"edge-{number}", f"127.0.1.{number}"
        path = self.settings(
            name,
            host,
            {
                "machine_class": "edge",
                "listen.front": f"{host}:{self.front}",
                "listen.ready": f"{host}:{self.ready}",
                "limits.memory_mb": "260",
                "limits.max_fds": "4200",
            },
        )
        self.start(name, "entry", path)

    def start_agent(self, name, host, service, app):
        path = self.settings(
            name,
            host,
            {
                "machine_class": "side",
                "limits.memory_mb": "128",
                "limits.max_fds": "2048",
                "app": app,
                "service": service,
            },
        )
        self.start(name, "agent", path)

    def send_signal(self, name, number):
        self.children[name][0].send_signal(number)

    def kill(self, name):
        child = self.children[name][0]
        child.kill()
        child.wait()

    def restart(self, name):
        _, role, path = self.children[name]
        self.start(name, role, path)

    def is_ready(self, number):
        try:
            reply = call(
                f"127.0.1.{number}", self.ready, "GET", "/v1/readyz", {}, 1
            )
        except OSError:
            return False
        return reply.status == 200

    def await_ready(self, numbers, limit_s=15):
        until = now() + limit_s
        while now() < until:
            if all(self.is_ready(number) for number in numbers):
                return True
            time.sleep(0.05)
        return False

    def close(self):
        for child, _, _ in self.children.values():
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# ---- Callers ----------------------------------------------------------------


class Reply:
    def __init__(self, status, fields, body):
        self.status = status
        self.fields = fields
        self.body = body


def call(host, port, method, path, fields, limit_s, body=b""):
    """Sends one request on a connection of its own and returns the answer;
    raises `OSError` if there is none."""
    with socket.create_connection((host, port), 1) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(limit_s)
        head = f"{method} {path} HTTP/1.1\r\n"
        fields = {"Host": "desk.example", "Connection": "close", **fields}
        if body or method == "POST":
            fields["Content-Length"] = str(len(body))
        head += "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        connection.sendall(head.encode() + b"\r\n" + body)
        reader = connection.makefile("rb")
        status_line = reader.readline().split(b" ")
        if len(status_line) < 2:
            raise ConnectionError("no answer")
        answered = {}
        while line := reader.readline().strip():
            name, _, value = line.decode().partition(":")
            answered[name.lower()] = value.strip()
        if "content-length" in answered:
            wanted = int(answered["content-length"])
            content = reader.read(wanted)
            if len(content) < wanted:
                raise ConnectionError("answer cut")
        elif answered.get("transfer-encoding") == "chunked":
            content = read_chunks(reader)
        else:
            content = reader.read()
        return Reply(int(status_line[1]), answered, content)


def read_chunks(reader):
    content = b""
    while True:
        line = reader.readline()
        if not line:
            raise ConnectionError("answer cut")
        size = int(line, 16)
        part = reader.read(size)
        if len(part) < size or reader.read(2) != b"\r\n":
            raise ConnectionError("answer cut")
        if size == 0:
            return content
        content += part


def run_case(play):
    """Runs a case and exits with its status. `play` gets the deployment and the
    record and returns a status."""

    def stop(*_):
        raise KeyboardInterrupt

    # At the time limit of run.sh, the processes are still ended.
    signal.signal(signal.SIGTERM, stop)
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(folder)
    deployment = None
    status = NOT_RUN
    try:
        deployment = Deployment(folder)
        status = play(deployment, record)
    except Exception as problem:  # pylint: disable=broad-except
        record.write(f"case could not run: {problem!r}")
        traceback.print_exc()
    finally:
        if deployment is not None:
            deployment.close()
        verdict = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[status]
        record.write(f"rule {verdict}")
        print(f"rule {verdict}")
        sys.stdout.flush()
        os._exit(status)
