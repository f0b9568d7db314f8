"""Stand-ins of the users' platform for the scripts of this review: store, engines, clients, and node processes.

They follow the users' pages. Everything runs in one event loop and on loopback addresses. Nodes are started with the command of
deploy/system.toml and settings like those of a small deployment, each "machine" on a loopback address of its own.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = "target/platform/bronzeswitch-platformd"  # As deploy/system.toml starts it, from the repository's root.
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be played as intended."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%8.3f s  %s\n" % (self.now(), text))
        self.file.flush()


# HTTP ---------------------------------------------------------------------------------------------------------------------------


async def read_head(reader):
    """Returns the first line and the fields (lower-case names), or None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return body
    return b""


class Server:
    """An HTTP/1.1 server on one loopback address; subclasses answer requests."""

    def __init__(self, ip="127.0.0.1"):
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.ip, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return "%s:%d" % (self.ip, self.port)

    async def stop(self):
        """The process ends: nobody listens any more and its connections close."""
        self.server.close()
        for writer in list(self.writers):
            writer.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ", 2)
                body = await read_body(reader, head[1])
                if not await self.respond(method, target, head[1], body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # The peer has closed the connection, or the case ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, method, target, fields, body, reader, writer):
        raise NotImplementedError


def response(status, fields, body):
    reasons = {200: "OK", 404: "Not Found", 403: "Forbidden", 409: "Conflict", 410: "Gone", 412: "Precondition Failed",
               421: "Misdirected Request", 500: "Internal Server Error", 503: "Service Unavailable"}
    head = "HTTP/1.1 %d %s\r\n" % (status, reasons.get(status, "Status"))
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    return (head + "Content-Length: %d\r\n\r\n" % len(body)).encode("latin-1") + body


# The platform's store -----------------------------------------------------------------------------------------------------------


class Store(Server):
    """The log with keyed topics, as far as PROTOCOL.md describes it and the system uses it."""

    def __init__(self, ip="127.0.0.1"):
        super().__init__(ip)
        self.topics = {}
        self.changed = asyncio.Event()
        self.era = 1
        self.on_append = None

    def put(self, topic, key, value):
        """A write by the operator or an engine. Without a value the key is dropped. Returns when it is acknowledged."""
        records = self.topics.setdefault(topic, [])
        records.append((key, None if value is None else json.dumps(value)))
        self._notify()
        return len(records) - 1

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def respond(self, method, target, fields, body, reader, writer):
        await asyncio.sleep(0.004)
        path, _, query = target.partition("?")
        arguments = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
        status, content = await self._call(path, arguments, body)
        kind = "application/json" if isinstance(content, dict) else "application/octet-stream"
        data = json.dumps(content).encode() if isinstance(content, dict) else content
        writer.write(response(status, [("Content-Type", kind), ("Store-Era", self.era)], data))
        await writer.drain()
        return True

    async def _call(self, path, arguments, body):
        name = arguments.get("topic", "")
        if path == "/log-newest":
            return 200, self._newest(self.topics.get(name, []))
        if path == "/log-read":
            return await self._read(name, int(arguments["from"]), int(arguments.get("wait_ms", "0")))
        if path == "/log-append":
            return self._append(name, arguments, body)
        return 404, {}

    @staticmethod
    def _newest(records):
        last = {}
        for offset, (key, _) in enumerate(records):
            last[key] = offset
        items = [{"key": key, "value": base64.b64encode(records[offset][1].encode()).decode(), "offset": offset}
                 for key, offset in sorted(last.items()) if records[offset][1] is not None]
        return {"items": items, "has_more": False, "end_offset": len(records)}

    async def _read(self, name, start, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while len(self.topics.get(name, [])) <= start and time.monotonic() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - time.monotonic()))
            except asyncio.TimeoutError:
                break
        records = self.topics.get(name, [])
        if start > len(records):
            return 410, {"start_offset": 0}
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            content = bytes([len(key)]) + key.encode() + (value or "").encode()
            data += struct.pack(">I", len(content)) + content
        return 200, data

    def _append(self, name, arguments, body):
        if name in ("keyed.op", "keyed.servers"):
            return 403, {}
        records = self.topics.setdefault(name, [])
        if "at" in arguments and int(arguments["at"]) != len(records):
            return 412, {"end_offset": len(records)}
        first = len(records)
        position = 0
        while position < len(body):
            (length,) = struct.unpack(">I", body[position:position + 4])
            content = body[position + 4:position + 4 + length]
            size = content[0]
            value = content[1 + size:].decode()
            records.append((content[1:1 + size].decode(), value or None))
            position += 4 + length
        self._notify()
        if self.on_append:
            self.on_append(name, records[first:])
        return 200, {"offset": first, "end_offset": len(records)}


# Engines ------------------------------------------------------------------------------------------------------------------------


class Engine(Server):
    """An engine of one service: `slots` requests at a time, a few more in its queue, further ones are rejected as not run.

    `work(request)` is an asynchronous generator of a stream's events for a streaming request, else a coroutine with the body.
    """

    def __init__(self, store, record, name, service, slots, zone, work, version="v1", queue=4, ip="127.0.0.1"):
        super().__init__(ip)
        self.store, self.record, self.name, self.service = store, record, name, service
        self.slots, self.zone, self.work, self.version, self.queue = slots, zone, work, version, queue
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.busy = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.state = "ready"
        self.is_leaving = False
        self.is_registered = False
        self.ran = []
        self.more_fields = []  # Of each answer.
        self.beats = None

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version, "slots": self.slots,
                "state": self.state, "cold_remaining_ms": 0, "phase": "unified", "models": [], "sequence": self.sequence,
                "born": self.born}

    async def start(self):
        await super().start()
        self.is_registered = True
        self.store.put("keyed.servers", self.name, self.entry())
        self.beats = asyncio.ensure_future(self._beat())
        return self

    async def _beat(self):
        while True:
            await asyncio.sleep(1.2)
            if self.is_registered:
                self.store.put("keyed.servers", self.name, self.entry())

    def leave_unannounced(self):
        """Its entry is removed; it goes on serving for a while, and says in its answers that it leaves."""
        self.is_registered = False
        self.is_leaving = True
        self.store.put("keyed.servers", self.name, None)

    async def stop(self):
        if self.beats:
            self.beats.cancel()
        await super().stop()

    def load(self):
        return "%d,%d,%d" % (self.busy, self.waiting, self.slots)

    def fields(self, request):
        fields = [("X-Attempt-Id", request["id"]), ("X-Instance-Signature", "sig." + self.name + "." + request["id"]),
                  ("X-Instance-Load", self.load())] + self.more_fields
        if self.is_leaving:
            fields.append(("Server-Leaving", "1"))
        return fields

    async def respond(self, method, target, fields, body, reader, writer):
        request = {"id": fields.get("x-attempt-id", ""), "method": method, "target": target, "fields": fields, "body": body,
                   "engine": self}
        if target == "/healthz":
            writer.write(response(200, [("X-Instance-Id", self.name)], b""))
            return True
        if fields.get("x-expected-instance", self.name) != self.name:
            writer.write(response(421, [("X-Attempt-Id", request["id"]), ("X-Instance-Id", self.name)], b""))
            return True
        if self.busy >= self.slots and self.waiting >= self.queue:
            writer.write(response(503, [("X-Attempt-Id", request["id"]), ("X-Not-Executed", "1")], b""))
            return True
        async with self.free:
            self.waiting += 1
            try:
                await self.free.wait_for(lambda: self.busy < self.slots)
            finally:
                self.waiting -= 1
            self.busy += 1
        self.record.line("engine %s (%s) begins request %s %s %s" % (self.name, self.service, request["id"], method, target))
        self.ran.append(request)
        try:
            return await self.run(request, writer)
        finally:
            async with self.free:
                self.busy -= 1
                self.free.notify_all()

    async def run(self, request, writer):
        result = self.work(request)
        if hasattr(result, "__aiter__"):
            return await self.stream(request, result, writer)
        body = await result
        writer.write(response(200, self.fields(request), body))
        await writer.drain()
        return True

    async def stream(self, request, events, writer):
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in self.fields(request):
            head += "%s: %s\r\n" % (name, value)
        writer.write((head + "\r\n").encode())
        async for event in events:
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.transport.is_closing():
                return False  # An engine drops a request when its connection closes.
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


# Nodes --------------------------------------------------------------------------------------------------------------------------


def free_ports(ips, count):
    """Ports that are free on all addresses, since ports are the same on all machines of a day."""
    ports = []
    while len(ports) < count:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Node:
    """One process of the role `gateway`."""

    def __init__(self, fleet, name, ip, zone, cpu_share):
        self.fleet, self.name, self.ip, self.zone, self.cpu_share = fleet, name, ip, zone, cpu_share
        self.process = None
        self.settings = os.path.join(fleet.folder, name + ".json")

    def start(self, bootstrap=True):
        fleet = self.fleet
        frontend, readiness, control, internal = fleet.ports
        settings = {
            "node_name": self.name, "role": "gateway", "machine_class": "edge", "serves": ["edge", "control"], "ip": self.ip,
            "zone": self.zone, "region": "r", "zones": {zone: "r" for zone in fleet.zones},
            "listeners_map": {"frontend": "%s:%d" % (self.ip, frontend), "readiness": "%s:%d" % (self.ip, readiness),
                              "control_plane": "%s:%d" % (self.ip, control)},
            "internal_port_range": [internal, internal], "seed_nodes": ["%s:%d" % (node.ip, control) for node in fleet.nodes[:3]],
            "bootstrap": bootstrap, "loss_counts": False,
            "limits": {"cpu_share": self.cpu_share, "cpu_cores": 1, "memory_mb": fleet.memory_mb, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "rollout",
                          "platform"],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": fleet.bounds,
            "platform": {"address": fleet.store.address, "form": "log", "writes_per_s": 400, "reads_per_s": 2000, "parts": 8,
                         "append_ms": 4.0, "ingest_per_s": 20.0, "egress_per_s": 80.0, "max_record_bytes": 262144,
                         "max_call_bytes": 2097152, "keep_s": 300, "partition_mb": 200, "ttl_min_ms": 1000}}
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BRONZESWITCH_CONFIG"] = self.settings
        self.log = open(os.path.join(fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, PROGRAM)], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=self.log)
        fleet.record.line("%s starts" % self.name)

    def signal(self, number):
        self.process.send_signal(number)
        self.fleet.record.line("%s gets %s" % (self.name, signal.Signals(number).name))

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.ip, self.fleet.ports[1]), 1)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and head[0].split(" ")[1] == "200"
        except (ConnectionError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout=10):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise NotRun("%s has ended by itself" % self.name)
            if await self.is_ready():
                self.fleet.record.line("%s is ready" % self.name)
                return
            await asyncio.sleep(0.02)
        raise NotRun("%s is not ready" % self.name)


class Fleet:
    """Store, nodes and what they share. To be used as an asynchronous context; ends all processes that it started."""

    def __init__(self, record, machines, zones=("za", "zb")):
        """machines: rows of name, loopback address, zone and share of a core."""
        self.record, self.zones = record, zones
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store()
        self.ports = free_ports([machine[1] for machine in machines], 4)
        self.nodes = [Node(self, *machine) for machine in machines]
        self.engines = []
        self.memory_mb = 260
        self.bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250,
                       "max_stretch_ms": 5000, "fail_closed": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
                       "retry_window_s": 10, "retry_slack": 58, "quota_window_s": 8, "quota_overshoot": 0.1,
                       "quota_slack": 140000, "exposure_share": 0.1, "exposure_slack": 50, "rollback_ms": 5000, "recovery_s": 12,
                       "iteration_ms": 120, "retry_after_s": 10}

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.end()
        for engine in self.engines:
            await engine.stop()
        await self.store.stop()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_engine(self, *arguments, **options):
        engine = await Engine(self.store, self.record, *arguments, **options).start()
        self.engines.append(engine)
        return engine

    async def start_nodes(self):
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            await node.wait_ready()
        await asyncio.sleep(3)  # Nodes discover each other; traffic starts some seconds after the machines do.


def route(name, host, prefix, kind, service, timeout_ms, target_ms, gap_ms=0, attempts=2, resumable=False, priority=0):
    return {"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms, "target_latency_ms": target_ms,
            "priority": priority, "service": service, "max_attempts": attempts, "anonymous": False, "session_affinity":
            kind == "streaming", "stream_resumption": resumable, "target_gap_ms": gap_ms}


def configuration(version, routes, engine_services, plain_services, slots=2):
    services = [{"name": name, "health_path": "/healthz", "max_connections": 370, "protocol": "h1", "tls": False,
                 "engine": {"slots": slots, "kv_capacity_tokens": 540063, "token_bytes": 18432, "link_mbps": 280000.0,
                            "migrations": True, "backups": True, "stride": 6, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0,
                            "kv_ttl_s": 5.0, "models": [{"name": "m"}]}} for name in engine_services]
    services += [{"name": name, "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}
                 for name in plain_services]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


# Clients ------------------------------------------------------------------------------------------------------------------------


class Answer:
    def __init__(self):
        self.status = 0  # 0: no answer in the protocol.
        self.fields = {}
        self.body = b""
        self.is_complete = False
        self.problem = ""

    def __str__(self):
        if not self.status:
            return "no answer (%s)" % self.problem
        complete = "complete" if self.is_complete else "broken off"
        return "%d, signature %s, %d bytes, %s" % (self.status, self.fields.get("x-instance-signature", "none"), len(self.body), complete)


async def send(record, node, method, host, path, request_id, deadline_ms, fields=(), body=b"", on_data=None):
    """Sends one request on a new connection and returns the answer."""
    answer = Answer()
    head = "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n" % (method, path, host, request_id, deadline_ms)
    for name, value in fields:
        head += "%s: %s\r\n" % (name, value)
    if method != "GET":
        head += "Content-Length: %d\r\n" % len(body)
    record.line("client sends %s %s %s to %s" % (request_id, method, path, node.name))
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(node.ip, node.fleet.ports[0]), 1)
        writer.write((head + "\r\n").encode() + body)
        await asyncio.wait_for(_receive(reader, answer, on_data), deadline_ms / 1000 + 2)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        answer.problem = type(error).__name__
    finally:
        if writer:
            writer.close()
    record.line("client gets %s: %s" % (request_id, answer))
    return answer


async def _receive(reader, answer, on_data):
    head = await read_head(reader)
    if head is None:
        answer.problem = "connection closed"
        return
    answer.fields = head[1]
    answer.status = int(head[0].split(" ")[1])
    if answer.fields.get("transfer-encoding", "") != "chunked":
        answer.body = await read_body(reader, answer.fields)
        answer.is_complete = True
        return
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            answer.problem = "stream broken off"
            return
        size = int(line, 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            answer.is_complete = True
            return
        answer.body += data
        if on_data:
            on_data(data)


def run_case(folder, case):
    """Runs `case(record, trouble)` and exits with 1 if it returns broken rules, 0 if not, and 2 if it could not run."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not os.path.exists(os.path.join(ROOT, PROGRAM)):
        record.line("not run: %s is missing" % PROGRAM)
        sys.exit(EXIT_NOT_RUN)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except (NotRun, asyncio.TimeoutError, OSError) as error:
        record.line("not run: %s %s" % (type(error).__name__, error))
        print("not run:", error)
        sys.exit(EXIT_NOT_RUN)
    for text in broken:
        record.line("BROKEN " + text)
        print("BROKEN", text)
    if not broken:
        record.line("held")
        print("held")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
