"""Stand-ins for the platform's store, the upstreams and the clients of a small deployment.

They follow the users' pages: the store serves tables with versions and a feed, an upstream
announces itself by heartbeats, runs at most as many requests as it has slots, echoes the request's
id and signs its answers, and a client sends one request per connection.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time
import urllib.parse

REPOSITORY = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
HEARTBEAT_PERIOD = 1.5
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, event, **fields):
        if self.file.closed:
            return
        words = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {words}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Message:
    """An HTTP message with its start line, header fields and body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_message(reader, limit=256 << 20):
    """Reads a message; returns None if the connection ends before a whole one."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).strip().split(b";")[0], 16)
                body += (await reader.readexactly(size + 2))[:-2]
                if size == 0:
                    break
        elif "content-length" in headers:
            body = await reader.readexactly(min(int(headers["content-length"]), limit))
        return Message(lines[0], headers, body)
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
        return None


def encode(start, headers, body=b""):
    fields = dict(headers)
    fields["Content-Length"] = str(len(body))
    head = start + "\r\n" + "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return head.encode("latin-1") + b"\r\n" + body


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def response(status, headers, body=b""):
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", headers, body)


taken_ports = set()


def free_port(host="127.0.0.1", kind=socket.SOCK_STREAM):
    """Returns a free port below the range from which outgoing connections get theirs."""
    while True:
        port = random.randrange(12000, 32000)
        if port in taken_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        taken_ports.add(port)
        return port


class Store:
    """The platform's table store: rows with versions from one counter, transactions and a feed."""

    def __init__(self, record):
        self.record = record
        self.rows = {}
        self.history = []
        self.version = 0
        self.changed = asyncio.Event()
        self.era = 1
        self.down = False
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, table, key, value):
        """Writes a row as the operator does."""
        self.apply([(table, key, value)])

    def apply(self, changes):
        self.version += 1
        for table, key, value in changes:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[(table, key)] = (value, self.version)
            self.history.append((self.version, table, key, value))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put_config(self, config):
        self.put("op", "config", json.dumps(config).encode())
        self.record.line("config_written", version=config["version"])

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                status, body = await self.answer(request)
                writer.write(response(status, {"Content-Type": "application/json",
                                               "Store-Era": str(self.era)},
                                      json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, request):
        method, target, _ = request.start.split(" ", 2)
        url = urllib.parse.urlsplit(target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if self.down:
            return 503, {}
        if method == "GET" and url.path == "/v1/rows-get":
            return 200, self.get(query)
        if method == "GET" and url.path == "/v1/rows-feed":
            return await self.feed(query)
        if method == "POST" and url.path == "/v1/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def stamp(self, body):
        body["ver"] = self.version
        body["now"] = "%dms" % (time.monotonic() * 1000)
        return body

    @staticmethod
    def row(table, key, value, version):
        return {"table": table, "part": "", "key": key,
                "value": base64.b64encode(value).decode(), "ver": version}

    def get(self, query):
        table, start, end = query["table"], query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        keys = sorted(key for name, key in self.rows
                      if name == table and key >= start and (not end or key < end))
        rows = [self.row(table, key, *self.rows[(table, key)]) for key in keys[:limit]]
        return self.stamp({"rows": rows, "has_more": len(keys) > limit})

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        if after > self.version:
            return 410, self.stamp({"rows": []})
        deadline = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            found = [entry for entry in self.history if entry[0] > after and entry[1] == table]
            left = deadline - time.monotonic()
            if found or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        rows = []
        for version, name, key, value in found:
            if value is None:
                rows.append({"table": name, "part": "", "key": key, "deleted": True,
                             "ver": version})
            else:
                rows.append(self.row(name, key, value, version))
        return 200, self.stamp({"rows": rows})

    def transact(self, body):
        for entry in body.get("expected_rev", []):
            _, version = self.rows.get((entry["table"], entry["key"]), (b"", 0))
            if version != entry["ver"]:
                return 412, self.stamp({"rows": []})
        changes = [(entry["table"], entry["key"], base64.b64decode(entry["value"]))
                   for entry in body.get("writes", [])]
        changes += [(entry["table"], entry["key"], None) for entry in body.get("remove", [])]
        if any(change[0] in ("op", "servers") for change in changes):
            return 403, {}
        self.apply(changes)
        return 200, self.stamp({})


async def wait_for_close(reader):
    """Returns when the other side closes or resets the connection, or sends more bytes."""
    try:
        await reader.read(1)
    except ConnectionError:
        pass


class Upstream:
    """An application upstream beside one node."""

    ids = itertools.count(1)

    def __init__(self, record, service, zone, slots, work, queue=72):
        self.record = record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work = work  # Seconds of a request, as a function of the request.
        self.instance = "i-%08x" % (0x7f3a0000 + next(self.ids))
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.rate_limit = None
        self.control = None
        self.server = None
        self.address = None
        self.free = asyncio.Semaphore(slots)
        self.waiting = 0
        self.running = {}
        self.arrivals = []  # Of requests for this instance: time, id.
        self.tasks = set()
        self.writers = set()
        self.beats = None
        self.drain_acked = None
        self.ended = False

    async def start(self, control):
        self.control = control
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.accept, host, int(port), limit=1 << 20)
        self.beats = asyncio.create_task(self.beat())

    async def call(self, path, body):
        host, port = self.control.split(":")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
            payload = json.dumps(body).encode()
            writer.write(encode(f"POST {path} HTTP/1.1",
                                {"Host": self.control, "Content-Type": "application/json"},
                                payload))
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.status // 100 == 2
        except (OSError, asyncio.TimeoutError):
            return False

    def status(self):
        self.sequence += 1
        return {"address": self.address, "born": self.born,
                "info": {"service": self.service, "version": "v1", "zone": self.zone,
                         "slots": self.slots},
                "status": {"state": self.state, "sequence": self.sequence, "warmup_left": "0ms"}}

    async def send_heartbeat(self):
        acknowledged = await self.call(f"/v1/instances/{self.instance}/heartbeat", self.status())
        return acknowledged

    async def beat(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_PERIOD)

    async def leave(self, drain, extra, must_ack=10.0):
        """Reports `draining`, serves for `drain` after the ack and `extra` more, and exits."""
        self.state = "draining"
        self.record.line("upstream_draining", upstream=self.instance)
        deadline = time.monotonic() + must_ack
        while not await self.send_heartbeat():
            if time.monotonic() > deadline:
                return False
            await asyncio.sleep(0.2)
        self.drain_acked = time.monotonic()
        self.record.line("draining_acked", upstream=self.instance,
                         running=len(self.running))
        await asyncio.sleep(drain + extra)
        await self.call(f"/v1/instances/{self.instance}/deregister", {"born": self.born})
        self.end()
        return True

    def end(self):
        """Exits: its connections close and its requests end."""
        if self.ended:
            return
        self.ended = True
        self.record.line("upstream_ended", upstream=self.instance, running=len(self.running))
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                # Watches for the close of the connection, which drops the request.
                run = asyncio.create_task(self.handle(request))
                gone = asyncio.create_task(wait_for_close(reader))
                await asyncio.wait({run, gone}, return_when=asyncio.FIRST_COMPLETED)
                if not run.done():
                    run.cancel()
                    return
                gone.cancel()
                close = self.state == "draining"
                if await self.send(writer, run.result()):
                    return
                try:
                    await gone
                    return
                except asyncio.CancelledError:
                    pass
                if close:
                    return
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def send(self, writer, answer):
        """Sends an answer; returns whether the connection ends with it."""
        writer.write(answer)
        await writer.drain()
        return False

    def headers(self, request, signed):
        fields = {"X-Request-Id": request.get("x-request-id")}
        if signed:
            fields["X-Response-Signature"] = "3e1b.07.5a2.600.0.c9f2a4d1"
        if self.rate_limit is not None:
            fields["Server-Limit"] = str(self.rate_limit)
        if self.state == "draining":
            fields["Server-Leaving"] = "1"
            fields["Connection"] = "close"
        return fields

    async def handle(self, request):
        _, target, _ = request.start.split(" ", 2)
        if target == "/health":
            return response(200 if self.state == "ready" else 503,
                            {"X-Instance-Id": self.instance})
        request_id = request.get("x-request-id")
        wanted = request.get("x-target-instance")
        if wanted and wanted != self.instance:
            fields = self.headers(request, False)
            fields["X-Instance-Id"] = self.instance
            return response(421, fields)
        self.arrivals.append((time.monotonic(), request_id))
        self.record.line("arrived", upstream=self.instance, id=request_id,
                         deadline_ms=request.get("x-deadline-ms"))
        if self.free.locked() and self.waiting >= self.queue:
            fields = self.headers(request, False)
            fields["X-Not-Executed"] = "1"
            return response(503, fields)
        deadline = float(request.get("x-deadline-ms", "60000")) / 1000
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        try:
            self.running[request_id] = time.monotonic()
            self.record.line("run", upstream=self.instance, id=request_id)
            work = self.work(request)
            await asyncio.sleep(min(work, deadline))
            if work > deadline:
                return response(504, self.headers(request, True), b"late\n")
            self.record.line("ran", upstream=self.instance, id=request_id)
            return response(200, self.headers(request, True), b"ok " + request_id.encode())
        except asyncio.CancelledError:
            self.record.line("dropped", upstream=self.instance, id=request_id)
            raise
        finally:
            self.running.pop(request_id, None)
            self.free.release()


class Machine:
    """The node of one host, started with the command of the deploy file."""

    def __init__(self, mesh, name, zone, service, bounds, limits):
        self.mesh = mesh
        self.name = name
        host = "127.0.0.1"
        self.ports = {each: free_port(host) for each in
                      ("app", "inbound", "outbound", "ready", "control")}
        self.report = free_port(host, socket.SOCK_DGRAM)
        self.address = {each: f"{host}:{port}" for each, port in self.ports.items()}
        self.settings = {
            "node_id": name, "zone": zone, "service": service, "ip": host,
            "port_range": f"{self.report},{self.report}", "app_addr": self.address["app"],
            "listen.outbound": self.address["outbound"],
            "listen.inbound": self.address["inbound"], "listen.ready": self.address["ready"],
            "listen.control": self.address["control"],
            "platform.address": mesh.store.address, "bounds": bounds,
            "limits.max_fds": limits["max_fds"], "limits.link_mbps": limits["link_mbps"]}
        self.file = os.path.join(mesh.folder, f"{name}.yaml")
        self.process = None

    def render(self):
        """Fills in the template of the deploy file, as the platform does."""
        with open(os.path.join(REPOSITORY, "deploy", "settings.yaml"), encoding="utf-8") as source:
            template = source.read()

        def fill(match):
            value = self.settings[match.group(1)]
            return json.dumps(value) if match.group(2) else str(value)

        with open(self.file, "w", encoding="utf-8") as target:
            target.write(re.sub(r"\{\{([a-z_.]+)(\|json)?\}\}", fill, template))

    async def start(self):
        self.render()
        log = open(os.path.join(self.mesh.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "target/agatespread-sidecar", "--config", self.file, cwd=REPOSITORY,
            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.mesh.record.line("node_started", node=self.name, pid=self.process.pid)

    async def ready(self, seconds=8.0):
        deadline = time.monotonic() + seconds
        host, port = self.address["ready"].split(":")
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                answer = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if answer is not None and answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def stop(self, number=signal.SIGTERM, seconds=8.0):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(number)
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
        except asyncio.TimeoutError:
            self.process.kill()
            await self.process.wait()


class Mesh:
    """A small deployment in a temporary folder."""

    def __init__(self, case_folder):
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="agatespread-review-")
        self.store = Store(self.record)
        self.machines = []
        self.upstreams = []
        self.sent = 0

    async def add(self, name, zone, service, upstream, bounds, limits):
        machine = Machine(self, name, zone, service, bounds, limits)
        upstream.address = machine.address["app"]
        self.machines.append(machine)
        self.upstreams.append(upstream)
        await upstream.start(machine.address["control"])
        return machine

    async def request(self, machine, method, host, target, deadline, body=b"", fields=None,
                      quiet=False):
        """Sends a request and returns its status, or 0 without an answer, and the answer."""
        self.sent += 1
        request_id = "%08x%08x" % (os.getpid(), self.sent)
        headers = {"Host": host, "X-Request-Id": request_id,
                   "X-Deadline-Ms": str(int(deadline * 1000))}
        headers.update(fields or {})
        sent_at = time.monotonic()
        if not quiet:
            self.record.line("sent", node=machine.name, id=request_id, request=f"{method} {target}")
        writer = None
        try:
            address, port = machine.address["outbound"].split(":")
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(address, int(port)), 1)
            writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
            answer = await asyncio.wait_for(read_message(reader), deadline)
        except (OSError, asyncio.TimeoutError):
            answer = None
        finally:
            if writer is not None:
                writer.close()
        status = answer.status if answer is not None else 0
        if not quiet:
            reason = answer.body[:40].decode("latin-1").strip() if answer is not None else ""
            self.record.line("answered", node=machine.name, id=request_id, status=status,
                             after_ms=int((time.monotonic() - sent_at) * 1000),
                             body=f'"{reason}"')
        return request_id, status, answer

    async def close(self):
        for upstream in self.upstreams:
            upstream.end()
        await asyncio.gather(*(machine.stop(signal.SIGKILL) for machine in self.machines))
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def resident_mb(pid):
    try:
        with open(f"/proc/{pid}/statm", encoding="ascii") as source:
            return int(source.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    except (OSError, IndexError):
        return 0.0


class MemoryLimit:
    """Kills a node that exceeds its memory, as the platform does."""

    def __init__(self, mesh, limit_mb):
        self.mesh = mesh
        self.limit_mb = limit_mb
        self.peak = {}
        self.killed = []
        self.done = False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.done:
            for machine in self.mesh.machines:
                process = machine.process
                if (process is None or process.returncode is not None
                        or machine.name in self.killed):
                    continue
                used = resident_mb(process.pid)
                self.peak[machine.name] = max(self.peak.get(machine.name, 0), used)
                if used > self.limit_mb:
                    self.killed.append(machine.name)
                    os.kill(process.pid, signal.SIGKILL)
                    self.mesh.record.line("killed_for_memory", node=machine.name,
                                          used_mb=int(used), limit_mb=self.limit_mb)
            time.sleep(0.002)


class KeptConnection:
    """A client that sends one request after the other on an open connection."""

    def __init__(self, mesh, machine, number, method, host, target, deadline):
        self.mesh = mesh
        self.machine = machine
        self.number = number
        self.start = f"{method} {target} HTTP/1.1"
        self.host = host
        self.deadline = deadline
        self.answered = 0  # On the open connection.
        self.closed_during = None  # Id of the request on which the connection ended.
        self.stopping = False

    async def run(self):
        address, port = self.machine.address["outbound"].split(":")
        reader, writer = await asyncio.open_connection(address, int(port))
        count = 0
        while not self.stopping:
            count += 1
            request_id = "%08x%08x" % (0xc0000000 + self.number, count)
            self.mesh.record.line("sent", node=self.machine.name, id=request_id,
                                  answered_before=self.answered)
            writer.write(encode(self.start, {"Host": self.host, "X-Request-Id": request_id,
                                             "X-Deadline-Ms": str(int(self.deadline * 1000))},
                                b"seat"))
            answer = await read_message(reader)
            self.mesh.record.line("answered", node=self.machine.name, id=request_id,
                                  status=answer.status if answer else 0)
            if answer is None:
                self.closed_during = request_id
                break
            self.answered += 1
            if answer.get("connection").lower() == "close":
                writer.close()
                # Clients come back as a refusal tells them.
                await asyncio.sleep(min(float(answer.get("retry-after", "0")), 1.0))
                if self.stopping:
                    return
                reader, writer = await asyncio.open_connection(address, int(port))
                self.answered = 0
        writer.close()


def lost_on_kept_connections(clients, upstreams):
    """Returns the requests that reached an upstream and whose kept connection was closed without
    an answer."""
    arrived = {request_id for upstream in upstreams for _, request_id in upstream.arrivals}
    return [client.closed_during for client in clients
            if client.answered > 0 and client.closed_during in arrived]


def config(version, rules, limits=None):
    """A configuration of the operator; a rule is a dict with the fields of the pages."""
    hosts = {}
    services = set()
    for rule in rules:
        hosts.setdefault(rule["host"], []).append(
            {"name": rule["name"], "kind": rule["kind"], "target_latency": rule["target_latency"],
             "priority": rule["priority"], "match": {"path_prefix": rule["prefix"]},
             "action": {"service": rule["service"], "timeout": rule["timeout"],
                        "max_attempts": rule.get("max_attempts", 2)}})
        services.add(rule["service"])
    return {"version": "%08x" % version,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                                 "header_timeout": "3000ms", "idle_timeout": "15000ms"},
            "listeners": [{"host": host, "rules": entries} for host, entries in hosts.items()],
            "clusters": [{"name": name, "health_path": "/health", "max_connections": 480,
                          "protocol": "h1", "tls": False} for name in sorted(services)]}


def run(case, folder, limit=110):
    """Runs a case and exits with its result; a case that cannot run ends with 2."""

    async def whole():
        mesh = Mesh(folder)
        try:
            return await asyncio.wait_for(case(mesh), limit)
        except Exception as error:  # The result of a case that failed for another reason.
            mesh.record.line("could_not_run", error=f'"{type(error).__name__}: {error}"')
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
            return COULD_NOT_RUN
        finally:
            await mesh.close()

    if not os.access(os.path.join(REPOSITORY, "target", "agatespread-sidecar"), os.X_OK):
        print("target/agatespread-sidecar is missing: run the build of the deploy file")
        sys.exit(COULD_NOT_RUN)
    sys.exit(asyncio.run(whole()))
