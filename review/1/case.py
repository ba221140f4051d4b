"""Answers without end take the node beside a faulty upstream beyond its memory; it is killed and
drops the requests of its clients that are at work at sound upstreams."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import mesh as stand_ins  # noqa: E402

# The figures of zborovo-mesh-grown and of its small machines.
SLOTS = 18
BOUNDS = ["drain=2500ms", "grace=6s", "config_apply=2500ms", "retry_budget_ratio=0.2",
          "budget_window=10s", "budget_slack=180"]
LIMITS = {"max_fds": 4100, "link_mbps": 9.8}
MEMORY_MB = 160
SEAT_BOOK = {"name": "r-seat-book", "host": "riser.example", "kind": "non_idempotent",
             "target_latency": "1500ms", "priority": 1, "prefix": "/seat/",
             "service": "chartdesk", "timeout": "5000ms"}
WORK = 0.52
DEADLINE = 10.0

# The disruption: for 5 s, one upstream of four spoils each twentieth of its answers with a body
# that does not end until the caller closes the connection.
SPOILED_FOR = 5.0
SPOILED_EVERY = 20
BYTES_PER_SECOND = 16_000_000
CHUNK = b"z" * 65536

MACHINES = ("m1", "m2", "m3", "m4")
KEPT_CONNECTIONS = 20  # At each node.


class SpoilingUpstream(stand_ins.Upstream):
    """An upstream whose answers may have a body without a length and without an end."""

    spoil_until = 0.0
    answers = 0
    spoiled = 0

    async def send(self, writer, answer):
        succeeded = answer.startswith(b"HTTP/1.1 200")
        self.answers += succeeded
        spoils = succeeded and time.monotonic() < self.spoil_until
        if not spoils or self.answers % SPOILED_EVERY != 0:
            return await super().send(writer, answer)
        self.spoiled += 1
        head = answer.split(b"\r\n\r\n", 1)[0].split(b"\r\n")
        head = [line for line in head if not line.lower().startswith(b"content-length")]
        self.record.line("endless_answer", upstream=self.instance, number=self.spoiled)
        writer.write(b"\r\n".join(head) + b"\r\n\r\n")
        started, sent = time.monotonic(), 0
        while True:
            writer.write(CHUNK)
            await writer.drain()
            sent += len(CHUNK)
            ahead = sent / BYTES_PER_SECOND - (time.monotonic() - started)
            if ahead > 0:
                await asyncio.sleep(ahead)


async def case(mesh):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    await mesh.store.start()
    for name in MACHINES:
        upstream = SpoilingUpstream(mesh.record, "chartdesk", "west-ba", SLOTS,
                                    lambda _request: WORK)
        machine = await mesh.add(name, "west-ba", "chartdesk", upstream, BOUNDS, LIMITS)
        await machine.start()
    mesh.store.put_config(stand_ins.config(7, [SEAT_BOOK]))
    for machine in mesh.machines:
        if not await machine.ready():
            return stand_ins.COULD_NOT_RUN
    await asyncio.sleep(2.0)
    memory = stand_ins.MemoryLimit(mesh, MEMORY_MB)
    clients = [stand_ins.KeptConnection(mesh, machine, 256 * index + number, "POST",
                                        "riser.example", "/seat/4", DEADLINE)
               for index, machine in enumerate(mesh.machines)
               for number in range(KEPT_CONNECTIONS)]
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(4.0)

    faulty = mesh.upstreams[0]
    if trouble:
        faulty.spoil_until = time.monotonic() + SPOILED_FOR
        mesh.record.line("answers_spoiled", upstream=faulty.instance)
    await asyncio.sleep(SPOILED_FOR + 1.0)
    for client in clients:
        client.stopping = True
    await asyncio.wait(running, timeout=8)
    memory.done = True

    # The rule: at any time, no more than three requests from kept connections are passed on to a
    # sound upstream and end with a closed connection. The faulty upstream isn't sound.
    lost = stand_ins.lost_on_kept_connections(clients, mesh.upstreams[1:])
    at_faulty = stand_ins.lost_on_kept_connections(clients, mesh.upstreams[:1])
    peaks = {name: int(used) for name, used in memory.peak.items()}
    mesh.record.line("verdict", lost=len(lost), lost_at_the_faulty_upstream=len(at_faulty),
                     endless=faulty.spoiled, killed=",".join(memory.killed) or "none",
                     peak_mb=str(peaks).replace(" ", ""))
    print(f"requests passed on to a sound upstream whose kept connection was closed without an "
          f"answer: {len(lost)} (and {len(at_faulty)} at the faulty one); endless answers: "
          f"{faulty.spoiled}; nodes killed for memory: {memory.killed}; peak MB: {peaks}")
    return stand_ins.BROKEN if len(lost) > 3 else stand_ins.HELD


stand_ins.run(case, FOLDER)
