"""A node is killed while requests of its clients wait for a slot of the model engines, and starts again.

Checks rule ROUTE: no request is run by a service to which no configuration allows it to go.
"""

import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform_standins import Fleet, configuration, route, run_case, send  # noqa: E402
import platform_standins  # noqa: E402

EVENTS = 25
PAUSE = 0.1


async def case(record, trouble):
    async def generate(request):
        first = int(request["fields"].get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(PAUSE)
            yield b"id: %d\ndata: piece-%d\n\n" % (number, number)

    async def sign_off(request):
        await asyncio.sleep(0.4)
        return b"signed off " + request["id"].encode()

    machines = [("edge-za-1", "127.0.0.2", "za", 0.5), ("edge-zb-1", "127.0.0.3", "zb", 0.12)]
    async with Fleet(record, machines) as fleet:
        routes = [route("r-notes", "h.example", "/notes/", "streaming", "lm", 12000, 1000, 400, resumable=True),
                  route("r-signoff", "h.example", "/signoff/", "non_idempotent", "app", 4000, 1000, priority=1)]
        fleet.store.put("keyed.op", "config", configuration(1, routes, ["lm"], ["app"], slots=2))
        model = [await fleet.add_engine("lm-1", "lm", 2, "za", generate), await fleet.add_engine("lm-2", "lm", 2, "zb", generate)]
        application = await fleet.add_engine("app-1", "app", 2, "za", sign_off)
        await fleet.start_nodes()
        strong, weak = fleet.nodes
        tasks = []

        def stream(node, name):
            fields = [("X-Model-Name", "m"), ("X-Token-Count", "60,150"), ("X-Prompt-Prefix", "a1:40,%s:20" % name.encode().hex())]
            tasks.append(asyncio.ensure_future(send(record, node, "POST", "h.example", "/notes/1", name, 12000, fields, b"{}")))

        def sign(node, name):
            tasks.append(asyncio.ensure_future(send(record, node, "POST", "h.example", "/signoff/1", name, 4000, (), b"{}")))

        for number in range(4):  # All slots of the model engines are taken.
            stream(strong, "n-%d" % number)
        await asyncio.sleep(0.5)
        for number in range(12):  # These wait.
            stream(weak, "w-%d" % number)
        await asyncio.sleep(0.8)
        if trouble:
            weak.kill()
            await asyncio.sleep(0.2)
            weak.start(bootstrap=False)
            await weak.wait_ready()
        for number in range(12):
            sign(weak, "s-%d" % number)
        await asyncio.wait(tasks)
        broken = []
        for engine in model + [application]:
            for request in engine.ran:
                service = "app" if request["target"].startswith("/signoff/") else "lm"
                if engine.service != service:
                    broken.append("ROUTE: %s (%s) was run by %s of service %s, no configuration ever sent its route there" % (
                        request["id"], request["target"], engine.name, engine.service))
        return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
