"""Callers of a deployment; each sends requests and records what it saw of them."""

import asyncio
import socket

import sidecar_mesh as mesh
from sidecar_mesh import stand_ins

# How callers use their connections. "several" sends up to four requests without waiting for the
# responses, "parts" sends a body piece by piece, "leaves" closes before the response.
STYLES = ["kept", "kept", "kept", "kept", "several", "parts", "slow_reader", "new", "leaves"]

# Share of the idle timeout after which callers do not use a connection again.
MAX_IDLE_SHARE = 0.8
CONNECT_TIMEOUT_S = 1.0


class Caller:
    """Sends requests to the node of one machine until the run ends."""

    def __init__(self, deployment, machine, style, rate, generator):
        self.deployment = deployment
        self.record = deployment.record
        self.machine = machine
        self.style = style
        self.rate = rate  # Requests per second.
        self.random = generator
        # Some callers go through a proxy, some ignore that the node is not ready, some do not
        # know the idle timeout.
        self.proxied = self.random.random() < 0.2
        ports = mesh.PROXY_PORTS if self.proxied else mesh.PORTS
        self.endpoint = (machine.ip, ports["outbound"])
        self.heeds_ready = self.random.random() < 0.7
        self.heeds_idle = self.random.random() < 0.8
        self.connection = None
        self.reader = None
        self.writer = None
        self.answered = 0
        self.last_use = 0.0

    async def run(self):
        while not self.deployment.finished:
            await asyncio.sleep(self.random.expovariate(self.rate))
            if self.deployment.finished:
                break
            if self.writer is not None and self.is_spent():
                self.drop()
            if self.writer is None and not await self.connect():
                continue
            await self.send_requests()
            if self.style == "new":
                self.drop()
        self.drop()

    def is_spent(self):
        idle = self.record.now() - self.last_use
        return self.is_closed() or (
            self.heeds_idle and idle > MAX_IDLE_SHARE * self.deployment.idle_timeout)

    def is_closed(self):
        """Asks the kernel, which knows of a close before this process has read it."""
        try:
            return self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return self.reader.at_eof()
        except OSError:
            return True

    async def connect(self):
        if self.heeds_ready and not self.machine.in_rotation:
            return False
        connection = socket.socket()
        connection.setblocking(False)
        if self.style == "slow_reader":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        try:
            await asyncio.wait_for(
                asyncio.get_running_loop().sock_connect(connection, self.endpoint),
                CONNECT_TIMEOUT_S)
            limit = 4096 if self.style == "slow_reader" else 1 << 20
            self.reader, self.writer = await asyncio.open_connection(sock=connection, limit=limit)
        except (OSError, asyncio.TimeoutError):
            connection.close()
            return False
        self.connection = connection
        self.answered = 0
        self.last_use = self.record.now()
        return True

    def drop(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    def choose_class(self):
        return self.random.choices(mesh.CLASSES, [each.share for each in mesh.CLASSES])[0]

    async def send_requests(self):
        count = self.random.randint(2, 4) if self.style == "several" else 1
        exchanges = []
        try:
            for position in range(count):
                exchange = self.record.new_exchange(self.machine.name, self.choose_class(),
                                                    self.answered > 0, position)
                exchange.proxied = self.proxied
                exchanges.append(exchange)
                await self.send(exchange)
        except ConnectionError:
            pass  # The reads below find the same end of the connection.
        pause = 0.0
        for exchange in exchanges:
            if self.writer is not None:
                pause = await self.receive(exchange)
            else:  # The response before it closed the connection, or the caller left.
                self.end(exchange, "caller" if exchanges[0].closed_by == "caller" else "node fin")
        self.last_use = self.record.now()
        await asyncio.sleep(pause)

    def head(self, exchange, fields):
        headers = {"Host": mesh.HOST, "X-Request-Id": exchange.id,
                   "X-Deadline-Ms": str(int(exchange.cls.deadline * 1000))}
        headers.update(fields)
        lines = [f"{exchange.cls.method} {exchange.cls.prefix}{self.random.randrange(100)} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def send(self, exchange):
        exchange.sent = self.record.now()
        size = int(self.random.uniform(0.3, 2.0) * exchange.cls.request_bytes)
        body = mesh.body_of(exchange.id, size)
        if self.style != "parts" or size == 0:
            self.writer.write(self.head(exchange, {"Content-Length": str(size)}) + body)
        elif self.random.random() < 0.5:
            await self.send_parts(self.head(exchange, {"Content-Length": str(size)}), body,
                                  lambda part: part)
        else:
            await self.send_parts(self.head(exchange, {"Transfer-Encoding": "chunked"}), body,
                                  lambda part: b"%x\r\n%s\r\n" % (len(part), part))
            self.writer.write(b"0\r\n\r\n")
        exchange.last_byte = self.record.now()

    async def send_parts(self, head, body, frame):
        self.writer.write(head)
        step = max(1, len(body) // self.random.randint(2, 6))
        for start in range(0, len(body), step):
            await asyncio.sleep(self.random.uniform(0, 0.12))
            if self.reader.at_eof():
                raise ConnectionResetError("closed while the body was sent")
            self.writer.write(frame(body[start:start + step]))

    async def receive(self, exchange):
        """Reads a response and returns how long the node asks the caller to wait, in seconds."""
        left = exchange.sent + exchange.cls.deadline - self.record.now()
        if self.style == "leaves":
            left = min(left, self.random.uniform(0.01, 0.4))
        try:
            head, body = await asyncio.wait_for(self.read_answer(), max(left, 0.001))
        except asyncio.TimeoutError:
            self.end(exchange, "caller")
            return 0.0
        except ConnectionError:
            self.end(exchange, "node reset")
            return 0.0
        except asyncio.IncompleteReadError as error:
            self.end(exchange, "node fin inside" if error.partial else "node fin")
            return 0.0
        self.answered += 1
        exchange.answered = self.record.now()
        self.check(exchange, head, body)
        if head.get("connection").lower() == "close":
            self.drop()
        return min(float(head.get("retry-after", "0")), 1.0)

    def end(self, exchange, closed_by):
        exchange.closed = self.record.now()
        exchange.closed_by = closed_by
        self.drop()

    async def read_answer(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
        message = stand_ins.Message(lines[0], fields, b"")
        size = int(message.get("content-length", "0"))
        if self.style != "slow_reader":
            return message, await self.reader.readexactly(size)
        body = b""
        while len(body) < size:
            chunk = await self.reader.read(min(16384, size - len(body)))
            if not chunk:
                raise asyncio.IncompleteReadError(body, size)
            body += chunk
            await asyncio.sleep(0.005)
        return message, body

    @staticmethod
    def check(exchange, head, body):
        exchange.status = head.status
        signature = head.get("x-response-signature")
        exchange.signed = bool(signature)
        echoed = head.get("x-request-id")
        if echoed and echoed != exchange.id:
            exchange.fault = "response of another request"
        elif exchange.status // 100 == 2 and signature != mesh.signature_of(body):
            exchange.fault = "success without a matching signature"
        elif exchange.status // 100 == 2 and body != mesh.body_of(exchange.id, len(body)):
            exchange.fault = "body of another request"


async def check_readiness(deployment, period=1.0):
    """Takes machines out of rotation after two failed checks, unless half of their zone is out."""
    misses = {machine.name: 0 for machine in deployment.machines}

    async def check(machine):
        ready = False
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(machine.ip, mesh.PORTS["ready"]), period)
            writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(stand_ins.read_message(reader), period)
            ready = answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError):
            pass  # Counts as not ready.
        finally:
            if writer is not None:
                writer.close()
        misses[machine.name] = 0 if ready else misses[machine.name] + 1

    while not deployment.finished:
        await asyncio.gather(asyncio.sleep(period), *map(check, deployment.machines))
        for machine in deployment.machines:
            zone = [each for each in deployment.machines if each.zone == machine.zone]
            out = sum(misses[each.name] >= 2 for each in zone)
            machine.in_rotation = misses[machine.name] < 2 or 2 * out > len(zone)
