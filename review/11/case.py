"""A machine is partitioned from all engines while one of three engines breaks off some answers shortly before their end."""

import asyncio
import collections
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-3"))
import fleet  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN_STATUS = 71  # Not the status with which Python ends after an error of the case itself.
RATES = {"signoff": 19.6, "lookup": 8.0}  # Requests a second at the partitioned machine.
BODY_BYTES = 800
MISSING_BYTES = 10  # Of an answer that breaks off.
GARBLED_SHARE = 0.05
CUT_AT, CUT_S = 3.0, 12.0
LENGTH_S = 17


class Engine(fleet.PlainEngine):
    """Its answers repeat the request's identifier; some of them break off while the engine is faulty."""

    is_faulty = False

    async def answer(self, fields, writer):
        await asyncio.sleep(self.work)
        body = self.body(fields["x-attempt-id"])
        head = self.head(200, fields, "X-Instance-Signature: sig.%s\r\nContent-Length: %d\r\n" % (self.id, len(body)))
        if self.is_faulty and random.random() < GARBLED_SHARE:
            self.on_answer(self, fields, 0)
            writer.write(head + body[:-MISSING_BYTES])
            raise ConnectionError()
        writer.write(head + body)
        self.on_answer(self, fields, 200)

    @staticmethod
    def body(request_id):
        return (request_id.encode() * (BODY_BYTES // len(request_id)))[:BODY_BYTES]


async def main(record):
    deployment = fleet.Fleet(record, nodes=2)
    zones = ["barranca", "mompox", "honda"]
    counts, wrong = collections.Counter(), []
    for index in range(3):
        engine = Engine(deployment.store, record, "p-%d" % index, zone=zones[index])
        engine.on_answer = lambda engine, fields, status: record.add("%s ran %s: %s" % (
            engine.id, fields["x-attempt-id"], "whole" if status else "breaks off %d bytes before its end" % MISSING_BYTES))
        deployment.engines.append(engine)
    links = {}
    partitioned = None

    async def send(route):
        fields = fleet.plain_fields()
        method, body = ("POST", b'{"hinge":7}') if route == "signoff" else ("GET", b"")
        status, answer, data = await fleet.request(partitioned.address, partitioned.frontend, method, "/%s/7" % route, fields, body, 2.0)
        is_success = status == 200 and data is not None
        is_wrong = is_success and data != Engine.body(fields["X-Attempt-Id"])
        counts["status %d%s" % (status, "" if data is not None else ", incomplete")] += 1
        record.add("client: %s %s: %d%s" % (route, fields["X-Attempt-Id"], status, ", WRONG BODY, signature %s, its end: %r" % (
            answer.get("x-instance-signature"), data[-2 * MISSING_BYTES:]) if is_wrong else ""))
        if is_wrong:
            wrong.append(fields["X-Attempt-Id"])

    async def traffic(route):
        tasks = []
        while record.now() < LENGTH_S - 2:
            tasks.append(asyncio.ensure_future(send(route)))
            await asyncio.sleep(random.expovariate(RATES[route]))
        await asyncio.wait(tasks, timeout=2)

    async def disturb():
        if not TROUBLE:
            return
        await asyncio.sleep(CUT_AT - record.now())
        record.add("%s is partitioned from all engines; %s breaks off some answers" % (
            partitioned.name, deployment.engines[2].id))
        deployment.engines[2].is_faulty = True  # Of the same zone as the machine.
        for link in links.values():
            link.cut()
        await asyncio.sleep(CUT_S)
        for link in links.values():
            await link.start()

    try:
        await deployment.start([fleet.plain_route("signoff", "non_idempotent"), fleet.plain_route("lookup", "idempotent", 2)])
        for engine in deployment.engines:
            links[engine.id] = fleet.Link(engine)
            await links[engine.id].start()
        view_port = await deployment.store.start_view(lambda key: "127.0.0.1:%d" % links[key].port)
        partitioned = fleet.Node(deployment.store, "edge-honda-1", "honda", "127.0.0.13", ["127.0.0.11", "127.0.0.12"], view_port)
        deployment.nodes.append(partitioned)
        partitioned.start()
        await fleet.until(partitioned.is_ready, 15, "the third node did not get ready")
        await asyncio.sleep(2)
        record.start = fleet.time.monotonic()
        await asyncio.gather(disturb(), *[traffic(route) for route in RATES])
    finally:
        deployment.stop()
    record.add("answers to clients: %s" % ", ".join("%s: %d" % item for item in sorted(counts.items())))
    record.add("successes with a body that isn't the engine's whole body: %d (0 are allowed)" % len(wrong))
    return bool(wrong)


if __name__ == "__main__":
    folder = os.path.dirname(os.path.abspath(__file__))
    case_record = fleet.Record()
    try:
        code = BROKEN_STATUS if asyncio.run(main(case_record)) else 0
    except fleet.CannotRun as error:
        case_record.add("could not run: %s" % error)
        code = 2
    case_record.write(os.path.join(folder, "record.txt"))
    print("\n".join(line for line in case_record.lines[-2:]))
    sys.exit(code)
