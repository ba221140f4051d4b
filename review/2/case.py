"""Requests that wait in a node's queue are sent to an upstream long after its leaving was acked."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import mesh as stand_ins  # noqa: E402

# The figures of zborovo-mesh-grown.
SLOTS = 18
DRAIN = 2.5
BOUNDS = ["drain=2500ms", "grace=6s", "config_apply=2500ms", "retry_budget_ratio=0.2",
          "budget_window=10s", "budget_slack=180"]
LIMITS = {"max_fds": 4100, "link_mbps": 140.0}
SEAT_BOOK = {"name": "r-seat-book", "host": "riser.example", "kind": "non_idempotent",
             "target_latency": "1500ms", "priority": 1, "prefix": "/seat/",
             "service": "chartdesk", "timeout": "5000ms"}
WORK = 0.52
DEADLINE = 10.0

# The disruption: one of four upstreams, which is leaving, turns slow, 5 times for 6.5 s.
SLOW_FACTOR = 5.0
SLOW_FOR = 6.5
SLOW_AFTER_ACK = 0.1

MACHINES = ("m1", "m2", "m3", "m4")
RATE = 200  # Requests a second, 1.45 times what the upstreams can do.
LOAD_BEFORE = 6.0
LOAD_AFTER = 1.0
SERVES_LONGER = 1.0  # After `drain`.


async def case(mesh):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = mesh.record
    await mesh.store.start()
    slow_until = {}

    def work_of(name):
        def work(_request):
            return WORK * (SLOW_FACTOR if time.monotonic() < slow_until.get(name, 0) else 1)
        return work

    upstreams = {}
    for name in MACHINES:
        upstream = stand_ins.Upstream(record, "chartdesk", "west-ba", SLOTS, work_of(name))
        upstreams[name] = upstream
        machine = await mesh.add(name, "west-ba", "chartdesk", upstream, BOUNDS, LIMITS)
        await machine.start()
    mesh.store.put_config(stand_ins.config(7, [SEAT_BOOK]))
    for machine in mesh.machines:
        if not await machine.ready():
            return stand_ins.COULD_NOT_RUN
    await asyncio.sleep(2.0)

    requests = []

    async def load(seconds):
        start = time.monotonic()
        for number in range(int(seconds * RATE)):
            await asyncio.sleep(max(0, start + number / RATE - time.monotonic()))
            machine = mesh.machines[number % len(mesh.machines)]
            requests.append(asyncio.create_task(
                mesh.request(machine, "POST", "riser.example", "/seat/4", DEADLINE, b"seat")))

    await load(LOAD_BEFORE)
    leaving = upstreams["m1"]
    leave = asyncio.create_task(leaving.leave(DRAIN, SERVES_LONGER))

    async def turn_slow():
        while leaving.drain_acked is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(SLOW_AFTER_ACK)
        slow_until["m1"] = time.monotonic() + SLOW_FOR
        record.line("upstream_slow", upstream=leaving.instance, factor=SLOW_FACTOR)

    slow = asyncio.create_task(turn_slow()) if trouble else None
    await load(LOAD_AFTER)
    if slow:
        await slow
    if not await leave:
        return stand_ins.COULD_NOT_RUN
    results = await asyncio.gather(*requests)

    # The rule: no request reaches the upstream later than `drain` after the ack.
    late = [(at - leaving.drain_acked, request_id) for at, request_id in leaving.arrivals
            if at > leaving.drain_acked + DRAIN]
    statuses = {request_id: status for request_id, status, _ in results}
    for after, request_id in late:
        record.line("late_arrival", id=request_id, after_ack_s=f"{after:.3f}",
                    status=statuses.get(request_id))
    lost = sum(1 for _, request_id in late if statuses.get(request_id) in (0, 502, 504))
    counts = {}
    for status in statuses.values():
        counts[status] = counts.get(status, 0) + 1
    record.line("verdict", late_arrivals=len(late), of_these_lost=lost,
                answers=str(counts).replace(" ", ""))
    print(f"requests that reached the leaving upstream later than {DRAIN} s after the ack: "
          f"{len(late)}; of these without a success: {lost}; answers: {counts}")
    return stand_ins.BROKEN if late else stand_ins.HELD


stand_ins.run(case, FOLDER)
