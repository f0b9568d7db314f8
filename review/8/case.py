"""The node that reads the store for all stands still for 3.5 s. Just after it has woken, an engine leaves: its entry is removed.

Checks rule DRAIN: no request reaches the engine later than drain_ms after the store has acknowledged that it is gone.
"""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform_standins import Fleet, configuration, route, run_case, send  # noqa: E402

FREEZE_S = 3.5  # As the site file's node_freeze.
DRAIN_S = 2.0
EXIT_S = 2.5  # The engine goes on serving for drain_ms and a little longer, and then exits.
WORK_S = 0.4


async def case(record, trouble):
    async def sign_off(request):
        await asyncio.sleep(WORK_S)
        return b"signed off " + request["id"].encode()

    machines = [("edge-za-1", "127.0.0.2", "za", 0.5), ("edge-zb-1", "127.0.0.3", "zb", 0.25), ("edge-zb-2", "127.0.0.4", "zb", 0.25)]
    async with Fleet(record, machines) as fleet:
        routes = [route("r-signoff", "h.example", "/signoff/", "non_idempotent", "app", 4000, 1000)]
        fleet.store.put("keyed.op", "config", configuration(1, routes, [], ["app"]))
        engines = [await fleet.add_engine("app-%d" % number, "app", 6, "za", sign_off) for number in (1, 2, 3)]
        await fleet.start_nodes()
        reader, *others = fleet.nodes

        async def sign_offs(prefix):
            """Each calm node gets six sign-offs at once."""
            names = [(node, "%s-%s-%d" % (prefix, node.name, place)) for node in others for place in range(6)]
            return dict(zip([name for _, name in names], await asyncio.gather(
                *[send(record, node, "POST", "h.example", "/signoff/1", name, 4000, (), b"{}") for node, name in names])))

        await sign_offs("before")
        if trouble:
            reader.signal(signal.SIGSTOP)
            await asyncio.sleep(FREEZE_S)
            reader.signal(signal.SIGCONT)
        else:
            await asyncio.sleep(FREEZE_S)
        await asyncio.sleep(0.8)
        leaving = engines[1]
        leaving.leave_unannounced()
        left_at = record.now()
        record.line("engine %s leaves: its entry is removed, as the store acknowledges" % leaving.name)
        ran_before = len(leaving.ran)

        async def end_engine():
            await asyncio.sleep(EXIT_S - (record.now() - left_at))
            await leaving.stop()
            record.line("engine %s exits" % leaving.name)

        exits = asyncio.ensure_future(end_engine())
        await asyncio.sleep(DRAIN_S + 0.3 - (record.now() - left_at))
        answers = await sign_offs("after")
        late = [request["id"] for request in leaving.ran[ran_before:]]
        await exits
        answers.update(await sign_offs("later"))
        broken = ["DRAIN: request %s reached %s over %.1f s after its leaving was acknowledged" % (name, leaving.name, DRAIN_S)
                  for name in late]
        for name in late:
            record.line("what became of %s: %s" % (name, answers[name]))
        return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
