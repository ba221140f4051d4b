"""The ack of an upstream's leaving does not outlast a kill of the node while the store is down."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import mesh as stand_ins  # noqa: E402

# The figures of zborovo-mesh-grown.
SLOTS = 18
DRAIN = 2.5
STABLE_WINDOW = 3.0
BOUNDS = ["drain=2500ms", "grace=6s", "config_apply=2500ms", "retry_budget_ratio=0.2",
          "budget_window=10s", "budget_slack=180"]
LIMITS = {"max_fds": 4100, "link_mbps": 140.0}
SEAT_BOOK = {"name": "r-seat-book", "host": "riser.example", "kind": "non_idempotent",
             "target_latency": "1500ms", "priority": 1, "prefix": "/seat/",
             "service": "chartdesk", "timeout": "5000ms"}
WORK = 0.52
DEADLINE = 10.0

# The disruptions: the store is down for 4.5 s, and the node is killed meanwhile.
STORE_DOWN = 4.5
KILLED_AFTER_ACK = 0.4
RESTARTED_AFTER = 0.5
HEARTBEAT_LATE = 1.5  # Of a heartbeat that was sent before the upstream left.


async def case(mesh):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = mesh.record
    await mesh.store.start()
    for name in ("m1", "m2"):
        upstream = stand_ins.Upstream(record, "chartdesk", "west-ba", SLOTS,
                                      lambda _request: WORK)
        machine = await mesh.add(name, "west-ba", "chartdesk", upstream, BOUNDS, LIMITS)
        await machine.start()
    mesh.store.put_config(stand_ins.config(7, [SEAT_BOOK]))
    for machine in mesh.machines:
        if not await machine.ready():
            return stand_ins.COULD_NOT_RUN
    await asyncio.sleep(2.0)
    node, leaving = mesh.machines[0], mesh.upstreams[0]
    await mesh.request(node, "POST", "riser.example", "/seat/1", DEADLINE, b"seat")
    heartbeat_path = f"/v1/instances/{leaving.instance}/heartbeat"

    mesh.store.down = trouble
    record.line("store", down=mesh.store.down)
    store_down_at = time.monotonic()
    await asyncio.sleep(0.5)

    # The upstream never reports `draining`: it deregisters first and goes on serving.
    leaving.beats.cancel()
    late_heartbeat = leaving.status()
    if not await leaving.call(f"/v1/instances/{leaving.instance}/deregister",
                              {"born": leaving.born}):
        return stand_ins.COULD_NOT_RUN
    leaving.state = "draining"
    acked = time.monotonic()
    record.line("deregistration_acked", upstream=leaving.instance)

    await asyncio.sleep(KILLED_AFTER_ACK)
    if trouble:
        await node.stop(signal.SIGKILL)
        record.line("node_killed", node=node.name)
        await asyncio.sleep(RESTARTED_AFTER)
        await node.start()
        if not await node.ready():
            return stand_ins.COULD_NOT_RUN
    await asyncio.sleep(max(0, acked + HEARTBEAT_LATE - time.monotonic()))
    record.line("late_heartbeat", upstream=leaving.instance, state="ready",
                acknowledged=await leaving.call(heartbeat_path, late_heartbeat))
    await asyncio.sleep(max(0, store_down_at + STORE_DOWN - time.monotonic()))
    mesh.store.down = False
    record.line("store", down=False)

    # From here on all machines are in touch; the upstream still serves.
    await asyncio.sleep(STABLE_WINDOW + 0.5)
    requests = [asyncio.create_task(
        mesh.request(node, "POST", "riser.example", f"/seat/{number}", DEADLINE, b"seat"))
        for number in range(12)]
    await asyncio.sleep(0.3)
    leaving.end()
    statuses = {request_id: status for request_id, status, _ in await asyncio.gather(*requests)}

    late = [(at - acked, request_id) for at, request_id in leaving.arrivals if at > acked + DRAIN]
    for after, request_id in late:
        record.line("late_arrival", id=request_id, after_ack_s=f"{after:.3f}",
                    status=statuses.get(request_id))
    lost = sum(1 for _, request_id in late if statuses.get(request_id) in (0, 502, 504))
    record.line("verdict", late_arrivals=len(late), of_these_lost=lost,
                answers=",".join(str(status) for status in statuses.values()))
    print(f"requests that reached the upstream later than {DRAIN} s after the ack of its leaving: "
          f"{len(late)}; of these without a success: {lost}; "
          f"answers: {sorted(statuses.values())}")
    return stand_ins.BROKEN if late else stand_ins.HELD


stand_ins.run(case, FOLDER)
