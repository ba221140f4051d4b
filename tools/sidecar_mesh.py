"""A deployment of real sidecar processes on loopback, in the shape of zborovo-mesh.

Store, upstreams and callers are stand-ins in the process of the soak. Each host has an address of
its own, so that its ports can be the same everywhere and concurrent runs do not share any.
"""

import asyncio
import itertools
import json
import os
import random
import signal
import socket
import struct
import sys
import time
import zlib

FOLDER = os.path.dirname(os.path.abspath(__file__))
REPOSITORY = os.path.dirname(FOLDER)
sys.path.insert(0, os.path.join(REPOSITORY, "review"))
import mesh as stand_ins  # noqa: E402

# Seconds; the bounds that the hosts' settings name.
DRAIN_S = 2.0
GRACE_S = 6.0
STABLE_WINDOW_S = 3.0
CONFIG_APPLY_S = 2.0
LOSS_SLACK_S = 0.2
BOUNDS = {"drain": "2000ms", "grace": "6s", "config_apply": "2000ms", "stable_window": "3000ms",
          "ack": "4000ms", "loss_slack": "200ms", "retry_budget_ratio": "0.2",
          "budget_window": "10s", "budget_slack": "58"}
MEMORY_MB = 260
DESCRIPTORS = 4100
CORE_SHARE = 0.2

SLOTS = 18
QUEUE = 72
IDLE_CLOSE_S = 10.0
stand_ins.HEARTBEAT_PERIOD = 0.87

HOST = "ficu95.example"
ZONES = ("west-ba", "east-ke", "west-tt")
CHARTDESK, RISER = "chartdesk", "riser"
# Hosts of each service by zone, and how fast its upstreams are.
SHAPE = {CHARTDESK: (3, 2, 2), RISER: (1, 1, 1)}
SPEEDS = {CHARTDESK: (0.6, 1.0, 1.4), RISER: (0.7, 0.7, 1.6)}
PORTS = {"ready": 8141, "control": 8144, "app": 8145, "inbound": 8146, "outbound": 8147}
REPORT_PORT = 7380
# Reached through a fault proxy.
PROXY_PORTS = {"app": 8245, "outbound": 8247, "store": 8242}


class RequestClass:
    """A kind of request of the site; durations in seconds."""

    def __init__(self, name, method, prefix, service, kind, deadline, timeout, work, request_bytes,
                 response_bytes, share):
        self.name = name
        self.method = method
        self.prefix = prefix
        self.service = service
        self.kind = kind
        self.deadline = deadline
        self.timeout = timeout
        self.work = work
        self.request_bytes = request_bytes
        self.response_bytes = response_bytes
        self.share = share

    @property
    def repeatable(self):
        return self.kind != "non_idempotent"


CLASSES = [
    RequestClass("chart-view", "GET", "/lohu/", CHARTDESK, "idempotent", 2.0, 1.0, 0.09, 0,
                 5000, 5.3),
    RequestClass("seat-book", "POST", "/pufi/", CHARTDESK, "non_idempotent", 2.5, 1.2, 0.12, 4000,
                 5000, 2.0),
    RequestClass("score-upload", "GET", "/pule/", RISER, "download", 2.0, 2.0, 0.072, 0,
                 90000, 0.6),
    RequestClass("archive-read", "DELETE", "/arch/", RISER, "non_idempotent", 1.5, 0.8, 0.072, 0,
                 5000, 0.52),
]
MAX_RESPONSE_BYTES = 540000
INNER_CALL = RequestClass("booking-check", "GET", "/chec/", RISER, "idempotent", 0.25, 0.25, 0.022,
                          0, 1000, 0)
INNER_CALL_SHARE = 0.3


class Exchange:
    """The record of one request: what its caller and the upstreams saw of it."""

    def __init__(self, request_id, node, request_class, kept, position):
        self.id = request_id
        self.node = node  # Name of the machine that takes it from the caller.
        self.cls = request_class
        self.kept = kept  # Whether its connection had carried a response before.
        self.proxied = False
        self.position = position  # Number of unanswered requests ahead of it on the connection.
        self.sent = None  # When its first byte was sent.
        self.last_byte = None
        self.answered = None
        self.status = 0
        self.signed = False
        self.fault = ""  # What is wrong with the response, if anything.
        self.closed = None  # When the connection ended without a response.
        self.closed_by = ""  # "node fin", "node reset" or "caller".
        self.arrivals = []  # (time, upstream)
        self.runs = []  # [start, end or None, how it ended, upstream]

    def ran(self):
        return any(run[2] != "refused" for run in self.runs)

    def line(self):
        fields = {"id": self.id, "class": self.cls.name, "node": self.node, "kept": self.kept,
                  "proxied": self.proxied, "position": self.position, "sent": self.sent, "last_byte": self.last_byte,
                  "answered": self.answered, "status": self.status, "signed": self.signed,
                  "fault": self.fault, "closed": self.closed, "closed_by": self.closed_by,
                  "arrivals": [(at, up.instance) for at, up in self.arrivals],
                  "runs": [(run[0], run[1], run[2], run[3].instance) for run in self.runs]}
        return json.dumps(fields)


class Record:
    """All that happened in a run, in seconds since its start."""

    def __init__(self):
        self.start = time.monotonic()
        self.exchanges = {}
        self.events = []  # (time, name, fields)
        self.impairments = []  # [start, end or None, scope]; a scope is a node, "store" or "all"
        self.lags = []  # (time, how late the stand-ins' event loop was)
        self.ids = itertools.count(1)
        self.prefix = "%06x" % random.SystemRandom().randrange(1 << 24)

    def now(self):
        return time.monotonic() - self.start

    def line(self, name, **fields):
        self.events.append((self.now(), name, fields))

    def new_exchange(self, node, request_class, kept=False, position=0):
        request_id = "%s%010x" % (self.prefix, next(self.ids))
        exchange = Exchange(request_id, node, request_class, kept, position)
        self.exchanges[request_id] = exchange
        return exchange

    def impair(self, scope):
        entry = [self.now(), None, scope]
        self.impairments.append(entry)
        return entry

    def end(self, entry):
        entry[1] = self.now()

    def impaired(self, scopes, start, end):
        return any(scope in scopes and begun <= end and (ended is None or ended >= start)
                   for begun, ended, scope in self.impairments)

    async def measure_lag(self, period=0.02):
        while True:
            due = self.now() + period
            await asyncio.sleep(period)
            self.lags.append((self.now(), self.now() - due))

    def lag(self, start, end):
        """The longest lag of the stand-ins in a time."""
        return max((lag for at, lag in self.lags if start <= at <= end + 0.5), default=0.0)

    def write(self, folder):
        with open(os.path.join(folder, "record.txt"), "w", encoding="utf-8") as file:
            for at, name, fields in self.events:
                file.write(f"{at:8.3f} {name} {json.dumps(fields)}\n")
            for exchange in self.exchanges.values():
                file.write(exchange.line() + "\n")


def body_of(request_id, size):
    """The bytes that an upstream sends for a request."""
    unit = (request_id + "\n").encode()
    return (unit * (size // len(unit) + 1))[:size]


def signature_of(body):
    return f"{len(body):x}.{zlib.crc32(body):08x}"


class Store(stand_ins.Store):
    """The platform's store, which can be down, slow or lose its responses."""

    def __init__(self, record):
        super().__init__(record)
        self.delay = 0.004  # Seconds for each call.
        self.loses_answers = 0.0  # Share of the calls whose response is lost.
        self.random = random.Random(1)

    async def answer(self, request):
        await asyncio.sleep(self.delay)
        status, body = await super().answer(request)
        if self.random.random() < self.loses_answers:
            raise ConnectionResetError("the response is lost")
        return status, body


class Link:
    """A TCP proxy from one address to another that can hold, reset or delay what passes."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.mode = "pass"
        self.opened = asyncio.Event()
        self.opened.set()
        self.tasks = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.accept, *self.listen)

    def set_mode(self, mode):
        self.mode = mode
        if mode == "silent":
            self.opened.clear()
        else:
            self.opened.set()
        if mode == "reset":
            for task in list(self.tasks):
                task.cancel()

    async def accept(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        other = None
        try:
            incoming, other = await asyncio.open_connection(*self.target)
            await asyncio.gather(self.forward(reader, other), self.forward(incoming, writer))
        except (OSError, asyncio.CancelledError):
            for each in (writer, other):
                if each is not None:
                    reset(each)
        finally:
            self.tasks.discard(task)
            for each in (writer, other):
                if each is not None:
                    each.close()

    async def forward(self, source, sink):
        while True:
            chunk = await source.read(65536)
            await self.opened.wait()
            if self.mode == "slow":
                await asyncio.sleep(0.05)
            if not chunk:
                sink.write_eof()
                return
            sink.write(chunk)
            await sink.drain()

    def close(self):
        self.server.close()
        for task in list(self.tasks):
            task.cancel()


def reset(writer):
    """Closes a connection with a reset instead of an end of stream."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Upstream(stand_ins.Upstream):
    """An application upstream that runs the requests of the record."""

    def __init__(self, record, service, zone, speed, seed):
        super().__init__(record, service, zone, SLOTS, None, QUEUE)
        self.speed = speed
        self.random = random.Random(seed)
        self.slowness = 1.0
        self.loses_answers = 0.0
        self.resets_idle = 0.0
        self.sound = True  # False from the first fault of its own.
        self.outbound = None  # Address of its node for its own calls.

    async def send(self, writer, answer):
        if isinstance(answer, Exception):
            reset(writer)
            return True
        try:
            writer.write(answer)
            await writer.drain()
        except ConnectionError:
            return True
        if self.random.random() < self.resets_idle:
            writer.close()
            return True
        return b"\r\nConnection: close\r\n" in answer[:512]

    async def handle(self, request):
        method, target, _ = request.start.split(" ", 2)
        if target == "/health":
            return stand_ins.response(200 if self.state == "ready" else 503,
                                      {"X-Instance-Id": self.instance})
        request_id = request.get("x-request-id")
        exchange = self.record.exchanges.get(request_id)
        if exchange is None:
            self.record.line("unasked", id=request_id, target=target)
            return stand_ins.response(400, {"X-Not-Executed": "1", "X-Request-Id": request_id})
        if request.get("x-target-instance", self.instance) != self.instance:
            return stand_ins.response(421, {"X-Instance-Id": self.instance,
                                            "X-Request-Id": request_id})
        exchange.arrivals.append((self.record.now(), self))
        if self.free.locked() and self.waiting >= self.queue:
            return stand_ins.response(503, {"X-Not-Executed": "1", "X-Request-Id": request_id})
        return await self.run(exchange, request, float(request.get("x-deadline-ms", "60000")) / 1e3)

    async def run(self, exchange, request, deadline):
        give_up = time.monotonic() + deadline
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), deadline)
        except asyncio.TimeoutError:
            return stand_ins.response(503, {"X-Not-Executed": "1", "X-Request-Id": exchange.id})
        finally:
            self.waiting -= 1
        entry = [self.record.now(), None, "at work", self]
        exchange.runs.append(entry)
        try:
            cls = exchange.cls
            work = min(self.random.lognormvariate(0, 0.5) * cls.work * self.speed * self.slowness,
                       6 * cls.work * self.slowness)
            await asyncio.sleep(max(0, min(work, give_up - time.monotonic())))
            if cls.name == "chart-view" and self.random.random() < INNER_CALL_SHARE:
                await self.call_check(give_up - time.monotonic())
            late = time.monotonic() >= give_up
            entry[2] = "late" if late else "done"
            if self.random.random() < self.loses_answers:
                entry[2] = "answer lost"
                return ConnectionResetError()
            size = min(int(self.random.lognormvariate(0, 0.6) * cls.response_bytes),
                       MAX_RESPONSE_BYTES)
            body = body_of(exchange.id, size)
            fields = {"X-Request-Id": exchange.id, "X-Response-Signature": signature_of(body)}
            if self.state == "draining" or self.random.random() < 0.01:
                fields["Connection"] = "close"
            return stand_ins.response(504 if late else 200, fields, body)
        except asyncio.CancelledError:
            entry[2] = "dropped"
            raise
        finally:
            entry[1] = self.record.now()
            self.free.release()

    async def call_check(self, left):
        """Makes a call of its own through the node on its host."""
        timeout = min(left, INNER_CALL.deadline)
        if timeout <= 0.01:
            return
        exchange = self.record.new_exchange(self.node_name, INNER_CALL)
        exchange.sent = self.record.now()
        writer = None
        try:
            reader, writer = await asyncio.open_connection(*self.outbound)
            writer.write(stand_ins.encode(
                f"GET {INNER_CALL.prefix}1 HTTP/1.1",
                {"Host": HOST, "X-Request-Id": exchange.id,
                 "X-Deadline-Ms": str(int(timeout * 1000))}))
            exchange.last_byte = self.record.now()
            answer = await asyncio.wait_for(stand_ins.read_message(reader), timeout)
            if answer is not None:
                exchange.answered = self.record.now()
                exchange.status = answer.status
                exchange.signed = bool(answer.get("x-response-signature"))
            else:
                exchange.closed, exchange.closed_by = self.record.now(), "node"
        except (OSError, asyncio.TimeoutError):
            exchange.closed, exchange.closed_by = self.record.now(), "caller"
        finally:
            if writer is not None:
                writer.close()


class Machine:
    """A host: its node and the address of its upstream."""

    def __init__(self, deployment, index, zone, service):
        self.deployment = deployment
        self.index = index
        self.zone = zone
        self.service = service
        self.name = f"sidecar-{zone}-{index}"
        self.ip = f"127.{deployment.network}.1.{index + 1}"
        self.process = None
        self.stopping_since = None
        self.exits = []
        self.settings = {
            "node_id": self.name, "zone": zone, "service": service, "ip": self.ip,
            "port_range": f"{REPORT_PORT},{REPORT_PORT}",
            "app_addr": f"{self.ip}:{PROXY_PORTS['app']}",
            "listen.outbound": f"{self.ip}:{PORTS['outbound']}",
            "listen.inbound": f"{self.ip}:{PORTS['inbound']}",
            "listen.ready": f"{self.ip}:{PORTS['ready']}",
            "listen.control": f"{self.ip}:{PORTS['control']}",
            "platform.address": f"{self.ip}:{PROXY_PORTS['store']}", "bounds": BOUNDS,
            "limits.max_fds": DESCRIPTORS, "limits.link_mbps": 1000.0}
        self.file = os.path.join(deployment.folder, f"{self.name}.yaml")
        self.log_path = os.path.join(deployment.folder, f"{self.name}.log")
        self.log_start = 0  # Offset of the first line of the present process.
        self.links = {
            "app": Link((self.ip, PROXY_PORTS["app"]), (self.ip, PORTS["app"])),
            "outbound": Link((self.ip, PROXY_PORTS["outbound"]), (self.ip, PORTS["outbound"])),
            "store": Link((self.ip, PROXY_PORTS["store"]), deployment.store_endpoint)}

    async def start_links(self):
        for link in self.links.values():
            await link.start()

    def running(self):
        return self.process is not None and self.process.returncode is None

    def has_opened_listeners(self):
        """Whether the log of the present process says that its listeners are open."""
        with open(self.log_path, encoding="utf-8") as log:
            log.seek(self.log_start)
            return " started " in log.read()

    async def start(self):
        stand_ins.Machine.render(self)
        log = open(self.log_path, "ab")
        self.log_start = log.tell()
        self.process = await asyncio.create_subprocess_exec(
            *self.deployment.command, "--config", self.file, cwd=REPOSITORY, stdout=log,
            stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.stopping_since = None
        self.deployment.record.line("started", node=self.name, pid=self.process.pid)

    def signal(self, number):
        if self.running():
            self.process.send_signal(number)
            self.deployment.record.line("signal", node=self.name, number=int(number))

    async def wait_for_exit(self, seconds):
        """Returns the exit status, or None if the process still ran and was killed."""
        process = self.process
        try:
            await asyncio.wait_for(process.wait(), seconds)
        except asyncio.TimeoutError:
            process.kill()
            await process.wait()
            self.deployment.record.line("killed_after_grace", node=self.name)
            return None
        self.deployment.record.line("exited", node=self.name, status=process.returncode)
        return process.returncode


class Deployment:
    """All machines of a run, their upstreams, the store and the configuration."""

    def __init__(self, folder, command, seed, record, scale=1):
        self.scale = scale  # Hosts for each one of the site.
        self.folder = folder
        self.command = command
        # Concurrent runs, also those of one seed, use different addresses.
        self.network = 2 + (seed + 97 * os.getpid()) % 250
        self.record = record
        self.random = random.Random(seed)
        self.store = Store(record)
        self.store_endpoint = None
        self.machines = []
        self.upstreams = {}
        self.version = 1
        self.idle_timeout = 15.0
        self.versions = []  # (time of the ack, factor of the routes' timeouts)

    async def start(self):
        await self.store.start()
        host, port = self.store.address.split(":")
        self.store_endpoint = (host, int(port))
        self.put_version()
        numbers = itertools.count()
        for service, counts in SHAPE.items():
            for zone, count in zip(ZONES, counts):
                for _ in range(count * self.scale):
                    machine = Machine(self, next(numbers), zone, service)
                    self.machines.append(machine)
                    await machine.start_links()
        for machine in self.machines:
            await machine.start()
            await self.start_upstream(machine)

    async def start_upstream(self, machine):
        speeds = SPEEDS[machine.service]
        upstream = Upstream(self.record, machine.service, machine.zone,
                            speeds[machine.index % len(speeds)], machine.index)
        upstream.address = f"{machine.ip}:{PORTS['app']}"
        upstream.outbound = (machine.ip, PORTS["outbound"])
        upstream.node_name = machine.name
        self.upstreams[machine.name] = upstream
        await upstream.start(f"{machine.ip}:{PORTS['control']}")
        upstream.address = f"{machine.ip}:{PROXY_PORTS['app']}"
        return upstream

    def put_version(self, timeout_factor=1.0, extra_routes=0):
        self.version += self.random.randint(1, 3)
        rules = [{"name": f"r-{each.name}", "kind": each.kind, "target_latency": "300ms",
                  "priority": 1, "host": HOST, "prefix": each.prefix, "service": each.service,
                  "timeout": f"{int(each.timeout * timeout_factor * 1000)}ms"}
                 for each in [*CLASSES, INNER_CALL]]
        rules += [{"name": f"r-extra-{number}", "kind": "idempotent", "target_latency": "300ms",
                   "priority": 2, "host": HOST, "prefix": f"/extra{number}/", "service": RISER,
                   "timeout": "1000ms"} for number in range(extra_routes)]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                  "header_timeout": "3000ms", "idle_timeout": f"{int(self.idle_timeout * 1000)}ms"}
        self.store.put_config(stand_ins.config(self.version, rules, limits))
        self.versions.append((self.record.now(), timeout_factor))

    async def ready(self, machine, seconds):
        machine.address = {"ready": f"{machine.ip}:{PORTS['ready']}"}
        return await stand_ins.Machine.ready(machine, seconds)

    async def close(self):
        for upstream in self.upstreams.values():
            upstream.end()
        for machine in self.machines:
            for link in machine.links.values():
                link.close()
            if machine.running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                await machine.process.wait()
        self.store.server.close()
