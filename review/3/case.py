"""Machines are replaced at new addresses; the settings of the new ones name the removed machines as seeds for a while."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import (Engine, Node, Record, Store, configuration, free_port, read_message, request_head, route,  # noqa: E402
                      run_case, temporary_folder)

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN_STATUS = 71  # Not the status with which Python ends after an error of the case itself.
SEED_LAG_S = 3.0
WINDOW_S, OVERSHOOT, SLACK = 8.0, 0.1, 140000
RATE, BURST = 100000, 100000
REQUEST_TOKENS = 8000
CLIENTS = 24
ATTEMPT_PAUSE_S = 0.15
LOAD_BEFORE_S, LOAD_AFTER_S = 6.0, 10.0
BOUND = (RATE * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK


class Traffic:
    """A tenant that sends many times its usual: clients that send requests to random nodes that are up."""

    def __init__(self, record):
        self.record, self.nodes, self.sent, self.count, self.stopped = record, [], {}, 0, False
        self.statuses = {}

    async def client(self, number):
        while not self.stopped:
            self.count += 1
            attempt = f"{number}-{self.count}"
            node = self.nodes[self.count % len(self.nodes)]
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(node.address, node.frontend), 1)
                self.sent[attempt] = time.monotonic()
                writer.write(request_head("GET", "/lookup/1", attempt, 1500, {"X-Token-Count": f"{REQUEST_TOKENS - 100},100"}))
                answer = await asyncio.wait_for(read_message(reader), 3)
                writer.close()
                status = answer.start.split(" ")[1]
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                status = "none"
            self.record(f"client sent {attempt} to {node.name}, answered {status}")
            self.statuses[(node.name, status)] = self.statuses.get((node.name, status), 0) + 1
            await asyncio.sleep(ATTEMPT_PAUSE_S)


def most_in_window(sent, runs):
    """Returns the most tokens of requests that were sent and run within one window."""
    arrivals = sorted((run, sent[attempt]) for attempt, run in runs.items())
    most = 0
    for _, begin in arrivals:
        inside = sum(1 for run, start in arrivals if start >= begin and run <= begin + WINDOW_S)
        most = max(most, inside * REQUEST_TOKENS)
    return most


async def run(folder, record):
    store = Store()
    await store.start()
    runs = {}

    async def handle(engine, request, writer):
        runs[request.get("x-attempt-id")] = time.monotonic()
        return await Engine.run(engine, request, writer)

    engines = [Engine(store, f"i-{number}", "records", record, handle, slots=16) for number in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    tenants = [{"name": "crews", "api_keys": ["key-1"], "unit": "tokens", "uncached_tokens": 200, "rate_per_s": RATE,
                "burst": BURST}]
    services = [{"name": "records", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": False}]
    store.put("keyed.op", "config", configuration(3, [route("lookup", "idempotent", "records")], services, tenants))
    addresses = [f"127.0.0.{number}" for number in range(11, 19)]
    port = free_port(addresses[0])
    seeds = [f"{address}:{port}" for address in addresses[:3]]
    nodes = [Node(f"edge-{number + 1}", store.port, folder, record, address, seeds, peer_port=port)
             for number, address in enumerate(addresses)]
    running, added = nodes[:5], nodes[5:]
    traffic = Traffic(record)
    try:
        for node in running:
            node.start()
        for node in running:
            if not await node.wait_ready():
                return 2
        await asyncio.sleep(10)
        traffic.nodes = running
        clients = [asyncio.create_task(traffic.client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(LOAD_BEFORE_S)
        if TROUBLE:
            traffic.nodes = running[3:]
            for node in running[:3]:
                node.end()
            record("edge-1 to edge-3 are removed for good; edge-6 to edge-8 are added with the same seeds")
            for node in added:
                node.start()
            for node in added:
                if not await node.wait_ready():
                    return 2
            traffic.nodes = running[3:] + added
            await asyncio.sleep(SEED_LAG_S)
            for node in added:
                node.write_settings(seeds=[f"{address}:{port}" for address in addresses[3:6]])
            record("the settings name edge-4 to edge-6 as seeds")
        await asyncio.sleep(LOAD_AFTER_S)
        traffic.stopped = True
        await asyncio.gather(*clients)
    finally:
        for node in nodes:
            node.end()
    most = most_in_window(traffic.sent, runs)
    record(f"answers by node and status: {traffic.statuses}")
    record(f"most tokens sent and run in {WINDOW_S} s: {most}, bound {BOUND:.0f}")
    if not runs:
        return 2
    return 1 if most > BOUND else 0


def main():
    record = Record(FOLDER)
    with temporary_folder() as folder:
        result = run_case(run(folder, record), record, 110)
    record(f"result {result}")
    return result


sys.exit({0: 0, 1: BROKEN_STATUS}.get(main(), 2))
