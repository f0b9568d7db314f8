"""Stand-ins for a small deployment: the platform's store, engines and clients, and the daemon as separate processes.

Everything listens on loopback addresses. Each node has an address of its own (127.0.0.11 and up) and the same ports, as on the
machines of a day. Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "platform", "bronzeswitch-platformd")
HOST = "ramp.example"
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "fail_closed": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58,
    "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 140000, "exposure_share": 0.1, "exposure_slack": 50,
    "rollback_ms": 5000, "recovery_s": 12, "iteration_ms": 120, "retry_after_s": 10,
}


class CannotRun(Exception):
    """The case could not run here."""


class Record:
    """Times in seconds since the start; one line an event, kept for the record file."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append("%9.3f %s" % (self.now(), text))

    def write(self, path):
        with open(path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


async def read_head(reader):
    """Returns the first line and the fields, with names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_request(reader):
    line, fields = await read_head(reader)
    method, target, _ = line.split(" ", 2)
    body = b""
    if int(fields.get("content-length", "0")):
        body = await reader.readexactly(int(fields["content-length"]))
    return method, target, fields, body


def free_port(address="127.0.0.1"):
    with socket.socket() as sock:
        sock.bind((address, 0))
        return sock.getsockname()[1]


class Store:
    """The platform's store: keyed topics with one partition, long polls, conditional appends."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.era = 1
        self.changed = asyncio.Event()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def start_view(self, address_of):
        """Serves the same store at a port of its own, with other addresses of engines: a machine that reaches them by paths of its
        own. Returns the port. address_of: returns the address for an engine's id."""
        view = await asyncio.start_server(lambda reader, writer: self.serve(reader, writer, address_of), "127.0.0.1", 0)
        return view.sockets[0].getsockname()[1]

    @staticmethod
    def viewed(topic, key, value, address_of):
        if value is None or address_of is None or topic != "keyed.servers":
            return value
        return json.dumps({**json.loads(value), "address": address_of(key)}).encode()

    def put(self, topic, key, value):
        """Appends a record; without a value the key is dropped."""
        data = None if value is None else (value if isinstance(value, bytes) else json.dumps(value).encode())
        self.topics.setdefault(topic, []).append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self, topic):
        found = {}
        for offset, (key, value) in enumerate(self.topics.get(topic, [])):
            found[key] = (value, offset)
        return {key: item for key, item in found.items() if item[0] is not None}

    async def serve(self, reader, writer, address_of=None):
        try:
            while True:
                _, target, _, body = await read_request(reader)
                path, _, query = target.partition("?")
                args = dict(part.partition("=")[::2] for part in query.split("&") if part)
                status, data, kind = await self.answer(path, args, body, address_of)
                head = "HTTP/1.1 %d X\r\nContent-Type: %s\r\nStore-Era: %d\r\nContent-Length: %d\r\n\r\n" % (
                    status, kind, self.era, len(data))
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, path, args, body, address_of=None):
        text = "application/json"
        topic = args.get("topic", "")
        if path == "/log-append":
            await asyncio.sleep(0.004)
            records = self.topics.setdefault(topic, [])
            first = len(records)
            if "at" in args and int(args["at"]) != first:
                return 412, json.dumps({"end_offset": first}).encode(), text
            position = 0
            while position < len(body):
                length = struct.unpack(">I", body[position:position + 4])[0]
                content = body[position + 4:position + 4 + length]
                position += 4 + length
                key = content[1:1 + content[0]].decode()
                value = content[1 + content[0]:]
                self.put(topic, key, value if value else None)
            return 200, json.dumps({"offset": first, "end_offset": len(records)}).encode(), text
        if path == "/log-newest":
            await asyncio.sleep(0.004)
            items = [{"key": key, "value": base64.b64encode(self.viewed(topic, key, value, address_of)).decode(), "offset": offset}
                     for key, (value, offset) in sorted(self.newest(topic).items())]
            end = len(self.topics.get(topic, []))
            return 200, json.dumps({"items": items, "has_more": False, "end_offset": end}).encode(), text
        if path == "/log-read":
            start = int(args["from"])
            until = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
            while True:
                records = self.topics.get(topic, [])
                if start > len(records):
                    return 410, json.dumps({"start_offset": 0}).encode(), text
                left = until - time.monotonic()
                if start < len(records) or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            await asyncio.sleep(0.004)
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + (self.viewed(topic, key, value, address_of) or b"")
                data += struct.pack(">I", len(content)) + content
            return 200, data, "application/octet-stream"
        return 404, b"{}", text


class Node:
    """One machine: the daemon with settings like those of a small deployment."""

    PORTS = None

    def __init__(self, store, name, zone, address, seeds, store_port=None):
        self.name, self.zone, self.address = name, zone, address
        self.folder = tempfile.mkdtemp(prefix="bronzeswitch-review-")
        self.process = None
        if Node.PORTS is None:
            Node.PORTS = [free_port(address) for _ in range(4)]
        frontend, readiness, control, peers = Node.PORTS
        self.frontend = frontend
        self.settings = {
            "node_name": name, "role": "gateway", "machine_class": "edge", "serves": ["edge", "control"], "ip": address,
            "zone": zone, "region": "magdalena",
            "zones": {"barranca": "magdalena", "mompox": "magdalena", "honda": "magdalena"},
            "listeners_map": {"frontend": "%s:%d" % (address, frontend), "readiness": "%s:%d" % (address, readiness),
                              "control_plane": "%s:%d" % (address, control)},
            "internal_port_range": [peers, peers], "seed_nodes": ["%s:%d" % (seed, control) for seed in seeds],
            "bootstrap": True, "loss_counts": False,
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": "127.0.0.1:%d" % (store_port or store.port), "form": "log", "writes_per_s": 400, "reads_per_s": 2000,
                         "parts": 8, "append_ms": 4.0, "keep_s": 300, "max_record_bytes": 262144,
                         "max_call_bytes": 2097152},
        }

    def start(self):
        path = os.path.join(self.folder, "boot.json")
        with open(path, "w") as file:
            json.dump(self.settings, file)
        log = open(os.path.join(self.folder, "log"), "a")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "BRONZESWITCH_CONFIG": path}
        self.process = subprocess.Popen([DAEMON], cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copy(os.path.join(self.folder, "log"), os.path.join(os.environ["KEEP_LOGS"], self.name + ".log"))
        shutil.rmtree(self.folder, ignore_errors=True)

    async def is_ready(self):
        status, _, _ = await request(self.address, Node.PORTS[1], "GET", "/readyz", {}, b"", 1.0)
        return status == 200


class Answer(tuple):
    pass


async def read_body(reader, fields):
    """Returns the body and whether it is complete."""
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip(), 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return body, True
                body += chunk[:-2]
        if "content-length" in fields:
            return await reader.readexactly(int(fields["content-length"])), True
        return await reader.read(), False
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return body, False


async def request(address, port, method, target, fields, body, timeout):
    """Sends one request on a new connection. Returns the status (0: no answer), the fields and the body (None: incomplete)."""
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(address, port)
        head = "%s %s HTTP/1.1\r\nHost: %s\r\n" % (method, target, HOST)
        head += "".join("%s: %s\r\n" % item for item in fields.items())
        if body or method == "POST":
            head += "Content-Length: %d\r\n" % len(body)
        writer.write(head.encode() + b"\r\n" + body)
        line, answer = await read_head(reader)
        data, is_complete = await read_body(reader, answer)
        return int(line.split(" ")[1]), answer, data if is_complete else None

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError, IndexError, ValueError):
        return 0, {}, None
    finally:
        if writer:
            writer.close()


async def until(condition, timeout, what):
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(what)


class Engine:
    """A model engine: runs so many requests at once, streams events, and crashes on a part of a prompt if it is told to."""

    def __init__(self, store, record, name, service="bitacora", zone="barranca", slots=9, prefill=0.08, events=20, gap=0.04):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.slots, self.prefill, self.events, self.gap = slots, prefill, events, gap
        self.crash_part = None
        self.back_after = 3.0
        self.starts = 0
        self.is_up = False
        self.on_arrival = lambda engine, fields: None
        self.on_crash = lambda engine: None
        self.tasks = set()

    async def start(self):
        self.starts += 1
        self.id = "%s-%d" % (self.name, self.starts)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = []
        self.writers = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True
        self.spawn(self.beat(self.id))

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": state, "cold_remaining_ms": 0, "phase": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}], "sequence": self.sequence, "born": self.born}

    async def beat(self, own_id):
        while self.is_up and self.id == own_id:
            self.store.put("keyed.servers", own_id, self.entry())
            await asyncio.sleep(1.2)

    def crash(self):
        """Ends like a killed process: all connections are reset, and nothing is said to the store."""
        if not self.is_up:
            return
        self.is_up = False
        self.on_crash(self)
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.spawn(self.recover(self.id))

    async def recover(self, old_id):
        await asyncio.sleep(self.back_after)
        await self.start()
        await asyncio.sleep(max(0.0, 3.6 - self.back_after))
        self.store.put("keyed.servers", old_id, None)  # Three heartbeats of silence.

    def head(self, status, fields, extra):
        load = "%d,%d,%d" % (self.running, len(self.waiting), self.slots)
        text = "HTTP/1.1 %d X\r\nX-Attempt-Id: %s\r\nX-Instance-Load: %s\r\n" % (status, fields.get("x-attempt-id", ""), load)
        return (text + extra + "\r\n").encode()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, target, fields, body = await read_request(reader)
                if target == "/healthz":
                    writer.write(("HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n" % self.id).encode())
                    continue
                if fields.get("x-expected-instance", self.id) != self.id:
                    writer.write(self.head(421, fields, "X-Instance-Id: %s\r\nContent-Length: 0\r\n" % self.id))
                    continue
                self.on_arrival(self, fields)
                await self.run(fields, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, fields, writer):
        if self.running >= self.slots:
            turn = asyncio.get_event_loop().create_future()
            self.waiting.append(turn)
            await turn
        self.running += 1
        try:
            await self.answer(fields, writer)
        finally:
            self.running -= 1
            while self.waiting:
                turn = self.waiting.pop(0)
                if not turn.done():
                    turn.set_result(None)
                    break

    async def answer(self, fields, writer):
        await asyncio.sleep(self.prefill)
        parts = [entry.split(":")[0] for entry in fields.get("x-prompt-prefix", "").split(",")]
        if self.crash_part and self.crash_part in parts[:-1]:
            self.crash()
            raise ConnectionError()
        signature = "X-Instance-Signature: sig.%s\r\n" % self.id
        writer.write(self.head(200, fields, signature + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
        first = int(fields.get("last-event-id", "0")) + 1
        for event in range(first, self.events + 1):
            text = "id: %d\ndata: w%d\n\n" % (event, event)
            writer.write(("%x\r\n%s\r\n" % (len(text), text)).encode())
            if writer.is_closing():
                raise ConnectionError()
            await writer.drain()
            await asyncio.sleep(self.gap)
        writer.write(b"0\r\n\r\n")


def streaming_route(name, attempts=1, resumable=False, timeout_ms=12000, target_ms=400):
    return {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "kind": "streaming", "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1, "service": "bitacora", "max_attempts": attempts, "anonymous": False,
            "session_affinity": True, "stream_resumption": resumable, "target_gap_ms": 400}


def plain_route(name, kind, attempts=1, service="registro", timeout_ms=1500, target_ms=100):
    return {"name": name, "host": HOST, "path_prefix": "/%s/" % name, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 2, "service": service, "max_attempts": attempts, "anonymous": False}


def configuration(routes, version=7):
    return {
        "version": version, "routes": routes,
        "services": [
            {"name": "bitacora", "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": False,
             "engine": {"slots": 9, "kv_capacity_tokens": 540063, "token_bytes": 18432, "link_mbps": 280000.0,
                        "migrations": True, "backups": True, "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                        "kv_ttl_s": 5.0, "models": [{"name": "m"}]}},
            {"name": "registro", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "ferry-crews", "api_keys": ["key-1"], "priority": 1, "unit": "tokens", "uncached_tokens": 200,
                     "rate_per_s": 1899350, "burst": 1899350}],
    }


_ids = random.Random()


def attempt_id():
    return "%016x" % _ids.getrandbits(64)


def prompt_fields(parts, deadline_ms):
    """Fields of a request with a prompt, given as (id, tokens) in order."""
    tokens = sum(size for _, size in parts)
    return {"X-Attempt-Id": attempt_id(), "X-Model-Name": "m", "X-Token-Count": "%d,120" % tokens,
            "X-Prompt-Prefix": ",".join("%s:%d" % part for part in parts), "X-Deadline-Ms": str(deadline_ms),
            "Authorization": "Token key-1"}


class Fleet:
    """Three nodes, a store and engines; ends all processes that it started."""

    def __init__(self, record, nodes=3):
        self.record = record
        self.store = Store(record)
        self.nodes = []
        self.engines = []
        self.node_count = nodes

    async def start(self, routes):
        if not os.path.exists(DAEMON):
            raise CannotRun("target/platform/bronzeswitch-platformd is missing")
        await self.store.start()
        self.store.put("keyed.op", "config", configuration(routes))
        for engine in self.engines:
            await engine.start()
        addresses = ["127.0.0.%d" % (11 + index) for index in range(self.node_count)]
        zones = ["barranca", "mompox", "honda"]
        for index, address in enumerate(addresses):
            node = Node(self.store, "edge-%s-%d" % (zones[index % 3], 1 + index // 3), zones[index % 3], address, addresses[:3])
            self.nodes.append(node)
            node.start()

        async def are_ready():
            states = [await node.is_ready() for node in self.nodes]
            return all(states)

        await until(are_ready, 15, "the nodes did not get ready")

    def stop(self):
        for node in self.nodes:
            node.stop()


class Link:
    """The path of one machine to one engine. While it is cut, open connections are reset and new ones are refused."""

    def __init__(self, engine):
        self.engine = engine
        self.writers = set()
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.engine.port)
        except OSError:
            writer.transport.abort()
            return
        self.writers.add(other_writer)
        try:
            await asyncio.gather(self.pass_bytes(reader, other_writer), self.pass_bytes(other_reader, writer))
        except asyncio.CancelledError:
            pass
        self.writers -= {writer, other_writer}

    @staticmethod
    async def pass_bytes(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
            writer.close()
        except (asyncio.CancelledError, ConnectionError, OSError):
            writer.transport.abort()


class PlainEngine(Engine):
    """An engine of a plain service: answers with a short body after its work, or with a failure if it is told to."""

    def __init__(self, store, record, name, version="v1", zone="barranca", slots=6, work=0.015):
        super().__init__(store, record, name, service="registro", zone=zone, slots=slots)
        self.version, self.work = version, work
        self.fails = lambda engine, fields: False
        self.truncates = False  # A failure is a response that breaks off, in place of one with status 500.
        self.on_answer = lambda engine, fields, status: None

    def entry(self, state="ready"):
        return {**super().entry(state), "version": self.version}

    async def answer(self, fields, writer):
        fails = self.fails(self, fields)
        await asyncio.sleep(self.work)
        if fails and self.truncates:
            extra = "X-Instance-Signature: sig.%s\r\nContent-Length: 800\r\n" % self.id
            writer.write(self.head(200, fields, extra) + b"x" * 400)
            self.on_answer(self, fields, 0)
            raise ConnectionError()
        status, body = (500, b"failed") if fails else (200, b"x" * 800)
        extra = "X-Instance-Signature: sig.%s\r\nContent-Length: %d\r\n" % (self.id, len(body))
        writer.write(self.head(status, fields, extra) + body)
        self.on_answer(self, fields, status)

    def stop(self):
        """Stops at once, without draining, and its entry goes."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.store.put("keyed.servers", self.id, None)


def plain_fields(deadline_ms=1500):
    return {"X-Attempt-Id": attempt_id(), "X-Deadline-Ms": str(deadline_ms), "Authorization": "Token key-1"}
