"""Starts, monitors and stops the processes of a mesh on loopback, for the tools in this folder."""

import json
import os
import random
import re
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

PEER_KEY = {"id": "peer-1", "secret": "demo-peer-secret-0123456789abcdef"}
OPERATOR_KEY = {
    "id": "demo",
    "secret": "demo-operator-secret-0123456789ab",
    "subtrees": ["*"],
    "may_drain": True,
}


class ClusterError(Exception):
    """A process did not start, or a command failed."""


class PortAllocator:
    """Allocates ports of 127.0.0.1 below the ephemeral range of the system."""

    FIRST, LAST = 12000, 32000

    def __init__(self, start):
        self.next = start

    def take(self):
        for _ in range(self.LAST - self.FIRST):
            port = self.next
            self.next = self.FIRST if port + 1 >= self.LAST else port + 1
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind(("127.0.0.1", port))
                    return port
                except OSError:
                    continue
        raise ClusterError("no free port")


def http_request(address, path, method="GET", body=None, timeout=2.0):
    """Returns status and body of one HTTP request."""
    request = urllib.request.Request(
        f"http://{address}{path}", data=body, method=method
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


def percentile(values, probability):
    """Returns a percentile of the values, or None if there are none."""
    if not values:
        return None
    ordered = sorted(values)
    return ordered[int(probability * (len(ordered) - 1))]


class Process:
    """A child process whose output goes to a log file."""

    def __init__(self, name, command, folder):
        self.name = name
        self.command = command
        self.log_path = os.path.join(folder, f"{name}.log")
        self.log = open(self.log_path, "a", encoding="utf-8")
        self.popen = subprocess.Popen(
            command, stdout=self.log, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL
        )

    def running(self):
        return self.popen.poll() is None

    def kill(self):
        if self.running():
            self.popen.send_signal(signal.SIGKILL)
        self.popen.wait()
        self.log.close()

    def terminate(self):
        if self.running():
            self.popen.send_signal(signal.SIGTERM)

    def wait(self, timeout):
        try:
            self.popen.wait(timeout)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        self.log.close()
        return True

    def output(self):
        with open(self.log_path, encoding="utf-8") as log:
            return log.read()

    def cpu_seconds(self):
        with open(f"/proc/{self.popen.pid}/stat", encoding="utf-8") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        with open(f"/proc/{self.popen.pid}/status", encoding="utf-8") as status:
            match = re.search(r"VmRSS:\s+(\d+) kB", status.read())
        return int(match.group(1)) * 1024 if match else 0


class Node:
    """A node and, if its host has one, the target program."""

    def __init__(self, name, domain, fleet):
        self.name = name
        self.domain = domain
        self.fleet = fleet
        self.addresses = {}
        self.process = None
        self.target = None
        self.target_address = None
        self.service = None

    @property
    def operator(self):
        return self.addresses["operator_address"]

    @property
    def mesh(self):
        return self.addresses["mesh_address"]


class Cluster:
    """All processes of one run."""

    def __init__(self, build, folder, seed=7, node_settings=None):
        self.build = build
        self.folder = folder
        self.random = random.Random(seed)
        # Concurrent runs start at different ports.
        self.ports = PortAllocator(12000 + (os.getpid() * 37) % 20000)
        self.nodes = []
        self.platform = None
        self.platform_address = None
        self.others = []
        self.node_settings = node_settings or {}
        with open(os.path.join(folder, "operator.key"), "w", encoding="utf-8") as key:
            key.write(OPERATOR_KEY["secret"])

    def program(self, name):
        return os.path.join(self.build, name)

    def start_platform(self, *options):
        port = self.ports.take()
        self.platform_address = f"127.0.0.1:{port}"
        self.platform = Process(
            "platform",
            [
                self.program("agatespread-platform-stand-in"),
                "--listen",
                self.platform_address,
                *options,
            ],
            self.folder,
        )
        self.wait_for(lambda: "listening on" in self.platform.output(), 10, "platform")

    def add_node(self, name, domain, fleet):
        node = Node(name, domain, fleet)
        names = ["mesh_address", "inbound_address", "peer_address", "operator_address"]
        node.addresses = {key: f"127.0.0.1:{self.ports.take()}" for key in names}
        self.nodes.append(node)
        return node

    def seeds(self, node):
        """Returns up to two peers in the domain of the node and up to one in another domain."""
        local = [n for n in self.nodes if n.domain == node.domain and n is not node]
        remote = [n for n in self.nodes if n.domain != node.domain]
        chosen = local[:2] + remote[:1]
        return [n.addresses["peer_address"] for n in chosen]

    def start_node(self, node):
        settings = {
            "node": node.name,
            "failure_domain": node.domain,
            "fleet": node.fleet,
            **node.addresses,
            "seeds": self.seeds(node),
            "peer_keys": [PEER_KEY],
            "operator_keys": [OPERATOR_KEY],
            "platform_address": self.platform_address,
            **self.node_settings,
        }
        # JSON is a subset of YAML.
        path = os.path.join(self.folder, f"{node.name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=2)
        node.process = Process(
            node.name, [self.program("agatespread-node"), "--config", path], self.folder
        )

    def start_target(self, node, service, tenant, slots, work_ms):
        node.service = service
        node.target_address = f"127.0.0.1:{self.ports.take()}"
        options = {
            "listen": node.target_address,
            "operator": node.operator,
            "mesh": node.mesh,
            "name": node.name,
            "fleet": node.fleet,
            "service": service,
            "tenant": tenant,
            "slots": slots,
            "work-ms": work_ms,
            "seed": self.random.randrange(1 << 30),
        }
        command = [self.program("agatespread-target")]
        for name, value in options.items():
            command += [f"--{name}", str(value)]
        node.target = Process(f"{node.name}-target", command, self.folder)

    def restart_target(self, node):
        """Restarts a target program that has exited, at the same address."""
        ended = node.target
        ended.wait(1)
        node.target = Process(ended.name, ended.command, self.folder)

    def start_load(self, name, scenario):
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(scenario, file, indent=2)
        process = Process(name, [self.program("agatespread-bench"), "--config", path], self.folder)
        self.others.append(process)
        return process

    def cli(self, *arguments, node=None, check=True):
        """Runs an agatespread command and returns its parsed JSON output, or its last JSON line."""
        entry = node or next(n for n in self.nodes if n.process and n.process.running())
        command = [
            self.program("agatespread"),
            arguments[0],
            "--node",
            entry.operator,
            "--key",
            OPERATOR_KEY["id"],
            "--key-file",
            os.path.join(self.folder, "operator.key"),
            "--json",
            *arguments[1:],
        ]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if check and result.returncode != 0:
            raise ClusterError(
                f"{' '.join(arguments)} exited with {result.returncode}: "
                f"{result.stdout}{result.stderr}"
            )
        lines = result.stdout.strip()
        try:
            return json.loads(lines) if lines else {}
        except json.JSONDecodeError:
            return json.loads(lines.splitlines()[-1])

    def apply(self, subtree, document, node=None):
        path = os.path.join(self.folder, subtree.replace("/", "-") + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(document, file, indent=2)
        return self.cli("apply", subtree, path, node=node)

    def metrics(self, node):
        """Returns the values of all series on the metrics page of a node."""
        _, text = http_request(node.operator, "/metrics")
        series = {}
        for line in text.splitlines():
            if line and not line.startswith("#"):
                name, value = line.rsplit(" ", 1)
                series[name] = float(value)
        return series

    def sum_of(self, node, prefix):
        return sum(v for k, v in self.metrics(node).items() if k.startswith(prefix))

    def running_nodes(self):
        return [n for n in self.nodes if n.process and n.process.running()]

    def healthy(self, node):
        return self.answers(node, "/healthz")

    def ready(self, node):
        return self.answers(node, "/readyz")

    @staticmethod
    def answers(node, path):
        try:
            return http_request(node.operator, path, timeout=1.0)[0] == 200
        except OSError:
            return False

    def version_of(self, node):
        try:
            return int(self.metrics(node).get("agatespread_version_in_force", 0))
        except OSError:
            return 0

    def applied_at_ms(self, node, version):
        """Returns when a node applied a version, or None if that version is not in force."""
        series = self.metrics(node)
        if int(series.get("agatespread_version_in_force", 0)) != version:
            return None
        return series["agatespread_version_applied_unix_ms"]

    def convergence_ms(self, applied, nodes=None, timeout=10):
        """Waits until the change is in force on the nodes; returns the delays in ms."""
        version = applied["version"]
        nodes = nodes or self.running_nodes()
        self.wait_for(
            lambda: all(self.version_of(n) >= version for n in nodes),
            timeout,
            f"version {version}",
        )
        times = [self.applied_at_ms(n, version) for n in nodes]
        return [t - applied["accepted_unix_ms"] for t in times if t is not None]

    @staticmethod
    def wait_for(condition, timeout, description):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.05)
        text = description() if callable(description) else description
        raise ClusterError(f"timed out after {timeout} s: {text}")

    def stop(self):
        """Stops every process that this run started."""
        processes = list(self.others)
        for node in self.nodes:
            processes += [p for p in (node.target, node.process) if p]
        if self.platform:
            processes.append(self.platform)
        for process in processes:
            process.terminate()
        end = time.monotonic() + 5
        for process in processes:
            if process.running():
                process.wait(max(0.1, end - time.monotonic()))
