"""One of two engines spoils one in twenty of its answers: bytes that are no event stand behind a whole event.

The streams may be resumed. Checks rule ORDER: no piece of a stream is missing.
"""

import asyncio
import os
import re
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform_standins import Fleet, NotRun, configuration, route, run_case, send  # noqa: E402

EVENTS = 12
ANSWERS_PER_SPOILED_ONE = 20  # x = 0.05 of the answers, share = 0.5 of the engines.
MAX_REQUESTS = 120
PAUSE = 0.03


def event(number):
    return b"id: %d\ndata: piece-%d\n\n" % (number, number)


async def case(record, trouble):
    spoiled = []
    answers = {"e-1": 0, "e-2": 0}

    async def work(request):
        name = request["engine"].name
        answers[name] += 1
        spoils = trouble and name == "e-1" and answers[name] % ANSWERS_PER_SPOILED_ONE == 0
        first = int(request["fields"].get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(PAUSE)
            if spoils and number == 6:
                spoiled.append(request["id"])
                record.line("engine e-1 spoils its answer to %s behind event %d" % (request["id"], number))
                yield event(number) + b"id: \x9b\xff\ndata: \xe1\x07\n\n"
                return
            yield event(number)

    async with Fleet(record, [("edge-za-1", "127.0.0.2", "za", 0.25), ("edge-zb-1", "127.0.0.3", "zb", 0.25)]) as fleet:
        routes = [route("r-1", "h.example", "/notes/", "streaming", "lm", 12000, 1000, 400, attempts=2, resumable=True)]
        fleet.store.put("keyed.op", "config", configuration(1, routes, ["lm"], [], slots=4))
        for name, zone in (("e-1", "za"), ("e-2", "zb")):
            await fleet.add_engine(name, "lm", 4, zone, work)
        await fleet.start_nodes()
        broken = []
        checked = 0
        while checked < (MAX_REQUESTS if trouble else 60) and (not spoiled or checked < 40):
            names = ["q-%d" % (checked + place) for place in range(4)]
            fields = [("X-Model-Name", "m"), ("X-Token-Count", "60,60")]
            streams = await asyncio.gather(*[
                send(record, fleet.nodes[place % 2], "POST", "h.example", "/notes/1", name, 12000,
                     fields + [("X-Prompt-Prefix", "a1:40,%x:20" % (4096 + checked + place))], b"{}")
                for place, name in enumerate(names)])
            checked += len(names)
            for name, stream in zip(names, streams):
                if stream.status != 200:
                    continue
                ids = [int(number) for number in re.findall(rb"^id: (\d+)$", stream.body, re.M)]
                record.line("client has events of %s: %s" % (name, ids))
                expected = list(range(1, len(ids) + 1))
                if ids != expected or (stream.is_complete and len(ids) != EVENTS):
                    broken.append("ORDER: the client got the events %s of %s, %s" % (
                        ids, name, "and the stream ended as complete" if stream.is_complete else "then it broke off"))
        if trouble and not spoiled:
            raise NotRun("engine e-1 got too few requests")
        return broken


run_case(os.path.dirname(os.path.abspath(__file__)), case)
