"""Request bodies within the configured limit take a node beyond its memory; it is killed and drops
the requests of other clients."""

import asyncio
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import mesh as stand_ins  # noqa: E402

# The figures of zborovo-mesh.
SLOTS = 18
BOUNDS = ["drain=2000ms", "grace=6s", "config_apply=2000ms", "retry_budget_ratio=0.2",
          "budget_window=10s", "budget_slack=58"]
LIMITS = {"max_fds": 4100, "link_mbps": 1000.0}
MEMORY_MB = 260
MAX_BODY_BYTES = 67108864
SEAT_BOOK = {"name": "r-seat-book", "host": "riser.example", "kind": "non_idempotent",
             "target_latency": "400ms", "priority": 1, "prefix": "/seat/",
             "service": "chartdesk", "timeout": "1200ms"}
WORK = 0.12
DEADLINE = 2.5

KEPT_CONNECTIONS = 12  # At each node.
UPLOADS = 6
LARGE_BODY = 24 << 20
USUAL_BODY = 24000


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as source:
            return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    except (OSError, IndexError):
        return 0.0


class MemoryLimit:
    """Kills a node that exceeds its memory, as the platform does."""

    def __init__(self, mesh):
        self.mesh = mesh
        self.peak = {}
        self.killed = []
        self.done = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.done:
            for machine in self.mesh.machines:
                process = machine.process
                if process is None or process.returncode is not None:
                    continue
                used = resident_mb(process.pid)
                self.peak[machine.name] = max(self.peak.get(machine.name, 0), used)
                if used > MEMORY_MB and machine.name not in self.killed:
                    self.killed.append(machine.name)
                    os.kill(process.pid, signal.SIGKILL)
                    self.mesh.record.line("killed_for_memory", node=machine.name,
                                          used_mb=int(used), limit_mb=MEMORY_MB)
            time.sleep(0.002)


class KeptConnection:
    """A client that sends one request after the other on an open connection."""

    def __init__(self, mesh, machine, number):
        self.mesh = mesh
        self.machine = machine
        self.number = number
        self.answered = 0
        self.closed_during = None  # Id of the request on which the connection ended.
        self.stopping = False

    async def run(self):
        host, port = self.machine.address["outbound"].split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        count = 0
        while not self.stopping:
            count += 1
            request_id = "%08x%08x" % (0xc0000000 + self.number, count)
            self.mesh.record.line("sent", node=self.machine.name, id=request_id, kept=count > 1)
            writer.write(stand_ins.encode(
                "POST /seat/4 HTTP/1.1",
                {"Host": "riser.example", "X-Request-Id": request_id,
                 "X-Deadline-Ms": str(int(DEADLINE * 1000))}, b"seat"))
            answer = await stand_ins.read_message(reader)
            self.mesh.record.line("answered", node=self.machine.name, id=request_id,
                                  status=answer.status if answer else 0)
            if answer is None:
                self.closed_during = request_id
                break
            self.answered += 1
            if answer.get("connection").lower() == "close":
                writer.close()
                reader, writer = await asyncio.open_connection(host, int(port))
                self.answered = 0
        writer.close()


async def case(mesh):
    trouble = os.environ.get("TROUBLE", "1") != "0"
    await mesh.store.start()
    for name in ("m1", "m2"):
        upstream = stand_ins.Upstream(mesh.record, "chartdesk", "west-ba", SLOTS,
                                      lambda _request: WORK)
        machine = await mesh.add(name, "west-ba", "chartdesk", upstream, BOUNDS, LIMITS)
        await machine.start()
    limits = {"max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
              "header_timeout": "3000ms", "idle_timeout": "15000ms"}
    mesh.store.put_config(stand_ins.config(7, [SEAT_BOOK], limits))
    for machine in mesh.machines:
        if not await machine.ready():
            return stand_ins.COULD_NOT_RUN
    await asyncio.sleep(2.0)
    memory = MemoryLimit(mesh)
    node = mesh.machines[0]
    clients = [KeptConnection(mesh, machine, 256 * index + number)
               for index, machine in enumerate(mesh.machines)
               for number in range(KEPT_CONNECTIONS)]
    running = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(3.0)

    body = b"s" * (LARGE_BODY if trouble else USUAL_BODY)
    await asyncio.gather(*(
        mesh.request(node, "POST", "riser.example", f"/seat/plan-{number}", DEADLINE, body)
        for number in range(UPLOADS)))
    await asyncio.sleep(1.0)
    for client in clients:
        client.stopping = True
    await asyncio.wait(running, timeout=5)
    memory.done = True

    # The rule: at any time, no more than three requests from kept connections are passed on to a
    # sound upstream and end with a closed connection.
    arrived = {request_id for upstream in mesh.upstreams for _, request_id in upstream.arrivals}
    lost = [client.closed_during for client in clients
            if client.answered > 0 and client.closed_during in arrived]
    peaks = {name: int(used) for name, used in memory.peak.items()}
    mesh.record.line("verdict", lost=len(lost), killed=",".join(memory.killed) or "none",
                     peak_mb=str(peaks).replace(" ", ""))
    print(f"requests passed on to a sound upstream whose kept connection was closed without an "
          f"answer: {len(lost)}; nodes killed for memory: {memory.killed}; peak MB: {peaks}")
    return stand_ins.BROKEN if len(lost) > 3 else stand_ins.HELD


stand_ins.run(case, FOLDER)
