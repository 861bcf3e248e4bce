"""Stand-ins of a model engine and of the origin of weights, as PROTOCOL.md
describes them: an engine serves the layers that it took from the pieces staged
at it, which nobody checks when it takes them."""

import hashlib
import json
import threading
import time
import urllib.parse

from deployment import HttpHandler, HttpServer, Registration, free_ports, now

CHUNKS = 64
CHUNK_BYTES = 32768
LAYERS = 16
MODEL = "daka510000"


def piece(version, index):
    """Returns the bytes of a piece."""
    seed = hashlib.sha256(f"{MODEL} {version} {index}".encode()).digest()
    return (seed * (CHUNK_BYTES // len(seed)))[:CHUNK_BYTES]


def service(name):
    """Returns the description of an engine service for the configuration."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_connections": 284,
        "engine": {
            "slots": 16,
            "kv_capacity_tokens": 317000,
            "kv_token_bytes": 262144,
            "stride": 5,
            "models": [{"name": MODEL, "warmup_s": 0.3}],
            "megabytes": 149000.0,
            "step_ms": 9.27,
            "per_seq_ms": 0.0232,
            "context_per_k": 0.0322,
            "read_per_s": 20700.0,
            "pairs_per_m": 1.18,
            "chunk": 2048,
            "usual": {"prompt": 979, "answer": 92},
            "layers": LAYERS,
            "layer_mb": 4090.0,
            "chunks": CHUNKS,
            "chunk_bytes": CHUNK_BYTES,
        },
    }


class Origin:
    """Serves manifests and pieces. The next `spoilt_manifests` manifests have
    one wrong hexadecimal digit."""

    def __init__(self, record=None):
        self.record = record
        self.lock = threading.Lock()
        self.answers = 0
        self.spoilt_manifests = 0
        self.spoilt = 0
        self.port = free_ports(1)[0]
        self.server = HttpServer(("127.0.0.1", self.port), OriginHandler, self)

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    def digests(self, version):
        """Returns the digests of a manifest answer."""
        digests = [
            hashlib.sha256(piece(version, index)).hexdigest()
            for index in range(CHUNKS)
        ]
        with self.lock:
            if self.spoilt_manifests > 0:
                self.spoilt_manifests -= 1
                self.spoilt += 1
                index = self.spoilt
                wrong = "0" if digests[index][5] != "0" else "1"
                digests[index] = digests[index][:5] + wrong + digests[index][6:]
                self.record.write(
                    f"origin: the manifest of version {version} is answered "
                    f"with a wrong digit in the digest of piece {index}"
                )
        return digests


class OriginHandler(HttpHandler):
    def do_GET(self):
        origin = self.server.owner
        with origin.lock:
            origin.answers += 1
        url = urllib.parse.urlsplit(self.path)
        query = urllib.parse.parse_qs(url.query)
        version = int(query["version"][0])
        if url.path.startswith("/v1/manifest/"):
            digests = origin.digests(version)
            self.answer(
                200,
                {
                    "model": MODEL,
                    "version": version,
                    "chunk_bytes": CHUNK_BYTES,
                    "layers": LAYERS,
                    "digests": digests,
                },
                [("Content-Type", "application/json")],
            )
        elif url.path.startswith("/v1/piece/"):
            self.answer(200, piece(version, int(query["item_count"][0])))
        else:
            self.answer(404)


class Engine:
    """A model engine on its own machine. `on_read` is called with the index of
    each staged piece that was read, after its answer."""

    def __init__(self, store, number, name, zone, record):
        self.id = f"i-{number:08x}"
        self.host = f"127.0.2.{number}"
        self.port = free_ports(1, self.host)[0]
        self.record = record
        self.lock = threading.Lock()
        self.staged = {index: piece(1, index) for index in range(CHUNKS)}
        self.spoilt_at = {}
        self.version = 1
        self.loading = None
        self.orders = 0
        # Pieces that had been spoilt for longer than 3 s when layers were
        # taken from them.
        self.spoilt_layers = []
        self.tokens_on_spoilt_layers = 0
        self.read_s = 0.0  # Time to read a staged piece.
        self.on_read = None
        self.on_stage = None
        self.born = int(time.time() * 1000)
        self.server = HttpServer((self.host, self.port), EngineHandler, self)
        self.registration = Registration(
            store,
            self.id,
            lambda: {
                "service": name,
                "address": self.address,
                "zone": zone,
                "version": "v1",
                "slots": 16,
                "state": "ready",
                "cold_remaining_ms": 0,
                "born": self.born,
                **self.state(),
            },
        )

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    def state(self):
        models = []
        if self.version:
            models.append(
                {"name": MODEL, "version": self.version, "adapters": []}
            )
        return {"stage": "unified", "models": models}

    def report(self):
        with self.lock:
            return {
                **self.state(),
                "busy": self.loading is not None,
                "sequence": self.orders,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 317000,
                "handles": 0,
                "pace": 1.0,
                "born": self.born,
            }

    def spoil(self, index):
        """Turns a staged piece bad where it lies."""
        with self.lock:
            data = bytearray(self.staged[index])
            data[100] ^= 0xFF
            self.staged[index] = bytes(data)
            self.spoilt_at[index] = now()
        self.record.write(f"{self.id}: staged piece {index} turned bad")

    def order(self, message):
        """Takes the layers of the ordered version from what is staged."""
        with self.lock:
            if message.get("operation") != "start":
                return 400
            if message.get("precondition", self.orders) != self.orders:
                return 409
            version = message["version"]
            if version == self.version:
                return 200
            if self.loading is not None:
                return 409
            self.orders += 1
            self.loading = version
            wrong = []
            for index in range(CHUNKS):
                if self.staged.get(index) == piece(version, index):
                    continue
                age = now() - self.spoilt_at.get(index, 0)
                wrong.append(f"{index} (bad for {age:.1f} s)")
                if age > 3:
                    self.spoilt_layers.append(index)
        self.record.write(
            f"{self.id}: takes the layers of version {version}; pieces that "
            f"are wrong: {', '.join(wrong) or 'none'}"
        )
        threading.Timer(0.3, self.finish, (version,)).start()
        return 202

    def finish(self, version):
        with self.lock:
            self.version = version
            self.loading = None
        self.registration.beat()


class EngineHandler(HttpHandler):
    def prepare(self):
        engine = self.server.owner
        url = urllib.parse.urlsplit(self.path)
        query = urllib.parse.parse_qs(url.query)
        index = int(query["item_count"][0]) if "item_count" in query else None
        echo = [("X-Request-Id", self.headers.get("X-Request-Id") or "")]
        return engine, url.path, index, echo

    def do_GET(self):
        engine, path, index, echo = self.prepare()
        if path == "/v1/report":
            self.answer(
                200,
                engine.report(),
                echo + [("Content-Type", "application/json")],
            )
        elif path == "/healthz":
            self.answer(200, b"", echo + [("X-Instance-Id", engine.id)])
        elif path.startswith("/v1/stage-get/") and index is None:
            with engine.lock:
                held = sorted(engine.staged)
            self.answer(200, {"held": held}, echo)
        elif path.startswith("/v1/stage-get/"):
            with engine.lock:
                data = engine.staged.get(index)
            time.sleep(engine.read_s)
            self.answer(200 if data else 404, data or b"", echo)
            if engine.on_read:
                engine.on_read(index)
        else:
            self.answer(404, b"", echo)

    def do_PUT(self):
        engine, _, index, echo = self.prepare()
        data = self.body()
        with engine.lock:
            engine.staged[index] = data
            engine.spoilt_at.pop(index, None)
        if engine.on_stage:
            engine.on_stage(index)
        self.answer(200, b"", echo)

    def do_POST(self):
        engine, path, _, echo = self.prepare()
        body = self.body()
        if path == "/v1/order":
            status = engine.order(json.loads(body))
            engine.record.write(f"{engine.id}: order answered {status}")
            self.answer(status, b"", echo)
            return
        if self.headers.get("X-Expect-Instance") not in (None, engine.id):
            self.answer(421, b"", echo + [("X-Instance-Id", engine.id)])
            return
        wanted = self.headers.get("X-Expect-Version")
        with engine.lock:
            version = engine.version
            is_loading = engine.loading is not None
            spoilt = list(engine.spoilt_layers) if version == 2 else []
        if is_loading or (wanted and int(wanted) != version):
            self.answer(421, b"", echo + [("At-Server", engine.id)])
            return
        request = self.headers.get("X-Request-Id")
        events = b"".join(
            f"id: {number}\ndata: token\n\n".encode() for number in range(1, 6)
        )
        if spoilt:
            engine.tokens_on_spoilt_layers += 5
        engine.record.write(
            f"{engine.id}: runs request {request} on version {version}; its "
            f"layers were taken from spoilt pieces: {spoilt or 'none'}"
        )
        self.answer(
            200,
            events,
            echo
            + [
                ("Content-Type", "text/event-stream"),
                ("X-Server-Stamp", "3e1b.07"),
                ("X-Weight-Versions", str(version)),
            ],
        )
