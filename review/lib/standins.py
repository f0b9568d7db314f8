"""Stand-ins for the platform, engines and clients, for the review's scripts. Standard library only.

Store: keyed topics of the platform's log (log-newest, log-read, log-append).
Engine: an HTTP/1.1 server that runs requests and registers itself in the store.
Client: sends one request at a time on a kept connection.
Node: the project's own program as a separate process.
"""
import asyncio
import base64
import json
import os
import socket
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = [os.path.join(ROOT, "target/platform/bronzeswitch-platformd")]
REASONS = {200: "OK", 410: "Gone", 404: "Not Found", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


def free_port(address="127.0.0.1"):
    """Returns a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind((address, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((address, port))
            except OSError:
                continue
            return port


class Record:
    """Writes what was sent, answered and run to record.txt beside the script."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} s  {text}\n")
        self.file.flush()


class Message:
    """A received HTTP message: start line, header fields (lower-case names) and body."""

    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.setdefault(name.strip().lower(), value.strip())
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(fields.get("content-length", "0")))


async def read_message(reader):
    start, fields = await read_head(reader)
    return Message(start, fields, await read_body(reader, fields))


def response(status, fields=(), body=b""):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in dict(fields).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store, as far as the node uses it. Reads wait for records; nothing acknowledged is lost."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.port = 0
        self.era = 1

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, topic, key, value):
        """Appends a record; a value of None drops the key."""
        data = None if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                method, target, _ = request.start.split(" ")
                path, _, query = target.partition("?")
                values = dict(item.split("=", 1) for item in query.split("&") if "=" in item)
                status, body = await self.answer(path, values, request.body)
                writer.write(response(status, {"Store-Era": self.era}, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, path, values, body):
        topic = self.topics.setdefault(values.get("topic", ""), [])
        if path == "/log-newest":
            newest = {key: (offset, value) for offset, (key, value) in enumerate(topic)}
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (offset, value) in sorted(newest.items()) if value is not None]
            return 200, json.dumps({"items": items, "has_more": False, "end_offset": len(topic)}).encode()
        if path == "/log-read":
            start, until = int(values["from"]), time.monotonic() + int(values.get("wait_ms", 0)) / 1000
            if start > len(topic):
                return 410, b'{"start_offset":0}'
            while start >= len(topic) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    pass
            data = len(topic).to_bytes(8, "big") + (0).to_bytes(8, "big")
            for key, value in topic[start:]:
                content = bytes([len(key)]) + key.encode() + (value or b"")
                data += len(content).to_bytes(4, "big") + content
            return 200, data
        if path == "/log-append":
            if "at" in values and int(values["at"]) != len(topic):
                return 412, json.dumps({"end_offset": len(topic)}).encode()
            first, position = len(topic), 0
            while position < len(body):
                size = int.from_bytes(body[position:position + 4], "big")
                content = body[position + 4:position + 4 + size]
                name = content[1:1 + content[0]].decode()
                topic.append((name, content[1 + content[0]:] or None))
                position += 4 + size
            self.changed.set()
            self.changed = asyncio.Event()
            return 200, json.dumps({"offset": first, "end_offset": len(topic)}).encode()
        return 404, b""


class Engine:
    """An engine. `handle(engine, request, writer)` may be replaced; it returns False to close the connection."""

    def __init__(self, store, name, service, record, handle=None, slots=8):
        self.store, self.name, self.service, self.record, self.slots = store, name, service, record, slots
        self.handle = handle or Engine.run
        self.runs = []
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.version = "v1"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.writers = set()
        self.beats = asyncio.create_task(self.beat())

    def entry(self, state="ready"):
        self.sequence += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}", "zone": "barranca", "version": self.version,
                "slots": self.slots, "state": state, "cold_remaining_ms": 0, "sequence": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            self.store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(1.2)

    def crash(self):
        """Ends like a crashed engine: no new connections, open ones are reset, no more heartbeats."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if await self.handle(self, request, writer) is False:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def fields(self, request):
        return {"X-Attempt-Id": request.get("x-attempt-id"), "X-Instance-Signature": "sig-" + self.name,
                "X-Instance-Id": self.name}

    def note_run(self, request):
        self.runs.append(request.get("x-attempt-id"))
        self.record(f"engine {self.name} runs {request.get('x-attempt-id')} ({request.start})")

    async def run(self, request, writer):
        if request.start.split(" ")[1] == "/healthz":
            writer.write(response(200, {"X-Instance-Id": self.name}))
            await writer.drain()
            return True
        if request.get("x-expected-instance") not in ("", self.name):
            writer.write(response(421, {"X-Attempt-Id": request.get("x-attempt-id"), "X-Not-Executed": "1"}))
            await writer.drain()
            return True
        self.note_run(request)
        await asyncio.sleep(0.01)
        body = b"answer to " + request.get("x-attempt-id").encode()
        answer = response(200, self.fields(request), body)
        if request.start.startswith("HEAD "):
            answer = answer[:-len(body)]
        writer.write(answer)
        await writer.drain()
        return True


def route(name, kind, service, timeout=3000, target=500, attempts=2, **more):
    return {"name": name, "host": "ramp.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout,
            "target_latency_ms": target, "priority": 0, "service": service, "max_attempts": attempts, "anonymous": False,
            "session_affinity": False, "stream_resumption": False, "target_gap_ms": 400, **more}


def configuration(version, routes, services, tenants, limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                                 "idle_timeout_ms": 15000}, "tenants": tenants}


class Node:
    """The node's program, started as the deploy file says, with rendered settings in a temporary folder."""

    def __init__(self, name, store_port, folder, record, address="127.0.0.1", seeds=(), memory_mb=110, peer_port=None):
        self.name, self.address, self.record, self.folder = name, address, record, folder
        self.frontend, self.readiness = free_port(address), free_port(address)
        self.peers = peer_port or free_port(address)
        self.settings = {
            "node_name": name, "role": "gateway", "machine_class": "edge", "serves": ["edge", "control"], "ip": address,
            "zone": "barranca", "region": "magdalena", "zones": {"barranca": "magdalena"},
            "listeners_map": {"frontend": f"{address}:{self.frontend}", "readiness": f"{address}:{self.readiness}",
                              "control_plane": f"{address}:{self.peers}"},
            "internal_port_range": [self.peers, self.peers], "seed_nodes": list(seeds), "bootstrap": True,
            "loss_counts": False, "heartbeat_ms": 1200, "discovery": "platform", "entry": "vip",
            "limits": {"cpu_share": 0.25, "cpu_cores": 1, "memory_mb": memory_mb, "max_fds": 4100, "link_mbps": 1000.0,
                       "disk_mb": 0},
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
                       "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                       "rollback_slack_ms": 250, "max_stretch_ms": 5000, "fail_closed": False, "revoke_ms": 5000,
                       "retry_budget_ratio": 0.2, "retry_window_s": 10, "retry_slack": 58, "quota_window_s": 8,
                       "quota_overshoot": 0.1, "quota_slack": 140000, "exposure_share": 0.1, "exposure_slack": 50,
                       "rollback_ms": 5000, "recovery_s": 12, "iteration_ms": 120, "retry_after_s": 9.3},
            "platform": {"address": f"127.0.0.1:{store_port}", "form": "log", "writes_per_s": 400, "reads_per_s": 2000}}
        self.process = None

    def write_settings(self, seeds=None):
        """Writes the settings file, which replaces an earlier one at once."""
        if seeds is not None:
            self.settings["seed_nodes"] = list(seeds)
        path = os.path.join(self.folder, self.name + ".json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.settings, file)
        os.replace(path + ".new", path)
        return path

    def start(self):
        path = self.write_settings()
        log = open(os.path.join(self.folder, self.name + ".log"), "ab")
        environment = {"PATH": os.environ["PATH"], "BRONZESWITCH_CONFIG": path}
        self.process = subprocess.Popen(PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record(f"platform starts node {self.name}")

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def wait_ready(self, timeout=20):
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            try:
                reader, writer = await asyncio.open_connection(self.address, self.readiness)
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: n\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if " 200 " in answer.start:
                    return True
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False

    def resident_mb(self):
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            for line in file:
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


def request_head(method, target, attempt, deadline_ms, fields=(), body_bytes=None):
    lines = [f"{method} {target} HTTP/1.1", "Host: ramp.example", f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}",
             "Authorization: Token key-1"]
    lines += [f"{name}: {value}" for name, value in dict(fields).items()]
    if body_bytes is not None:
        lines.append(f"Content-Length: {body_bytes}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="bronzeswitch-review-")


def run_case(case, record, timeout_s):
    """Runs a case. Returns its result, or 2 if it could not run."""
    try:
        return asyncio.run(asyncio.wait_for(case, timeout_s))
    except Exception as problem:  # pylint: disable=broad-except
        record(f"the case could not run: {problem!r}")
        return 2
