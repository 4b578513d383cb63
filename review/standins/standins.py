"""Stand-ins for the review cases: clients, hosts and discovery, and the start of real gateways.

Everything runs on one asyncio event loop and on loopback addresses. Each stand-in follows the operators'
pages (PROTOCOL, TERMS); a case switches on the one disruption that it examines.
"""
import asyncio
import ctypes
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READ_BYTES = 4096


class CouldNotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


class Record:
    """Writes record.txt: one line for each event, with the seconds since the start of the case."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, event, **details):
        if self.file.closed:  # the case is over
            return
        text = " ".join(f"{key}={value}" for key, value in details.items())
        self.file.write(f"{self.now():10.4f} {event} {text}\n".rstrip() + "\n")

    def close(self):
        self.file.close()


_taken_ports = set()


def free_port(kind=socket.SOCK_STREAM):
    while True:
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _taken_ports:
            _taken_ports.add(port)
            return port


async def read_message(reader, read_body=None):
    """Reads one HTTP message with a Content-Length. Returns (start line, headers, body), or None at the end
    of the stream before its first byte. `read_body` reads the body of the given length."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionResetError("the stream ended inside a message") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await (read_body or reader.readexactly)(length) if length else b""
    except asyncio.IncompleteReadError as error:
        raise ConnectionResetError("the stream ended inside a message") from error
    return lines[0], headers, body


def message(start_line, headers, body=b""):
    lines = [start_line] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Host:
    """A host: runs each request for a while and answers it with a body that names the request."""

    def __init__(self, bed, uid, zone, cell):
        self.bed, self.uid, self.zone, self.cell = bed, uid, zone, cell
        self.state, self.boot_ms, self.port = "ready", 0, 0
        self.connections = set()
        # Returns the seconds that a request of the class takes.
        self.work_s = lambda qos: bed.random.uniform(*bed.work_s[qos])
        # Called after an answer has been written; a case may send something more.
        self.after_answer = None
        # The probability that a request ends in an error after it has run.
        self.error_share = 0.0
        # Returns the bytes a second at which the host reads a long body now; 0: as fast as it comes.
        self.body_rate = lambda: 0

    async def start(self):
        listener = socket.socket()
        if self.bed.small_buffers:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        listener.bind(("127.0.0.1", 0))
        limit = READ_BYTES if self.bed.small_buffers else 65536
        server = await asyncio.start_server(self.serve, sock=listener, backlog=512, limit=limit)
        self.port = listener.getsockname()[1]
        self.bed.servers.append(server)

    async def read_body(self, reader, length):
        rate, body = self.body_rate(), b""
        while len(body) < length:
            piece = await reader.read(min(READ_BYTES, length - len(body)))
            if not piece:
                raise ConnectionResetError("the stream ended inside a message")
            body += piece
            if rate and length > READ_BYTES:
                await asyncio.sleep(len(piece) / rate)
        return body

    def entry(self):
        return {"uid": self.uid, "endpoint": f"127.0.0.1:{self.port}", "az": self.zone, "model": "std-2c",
                "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": self.boot_ms}

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        first = await reader.read(1)
        first_byte_at = self.bed.record.now()
        if not first:
            return False
        received = await read_message(_Prefixed(first, reader),
                                      lambda length: self.read_body(reader, length))
        last_byte_at = self.bed.record.now()
        start_line, headers, body = received
        method, path, _ = start_line.split(" ", 2)
        if path in ("/ping", "/_load"):
            await asyncio.sleep(self.bed.probe_s)
            self.answer(writer, 200, b"ok", "probe", "")
            return True
        trace = headers.get("x-trace-id")
        request = self.bed.sent.get(trace)
        if trace is None or request is None:
            self.bed.record.write("host-unknown-id", host=self.uid, trace=trace)
            self.bed.unknown_ids += 1
            writer.write(message("HTTP/1.1 400 Bad Request" if trace else "HTTP/1.1 404 Not Found", []))
            return True
        self.bed.record.write("host-received", host=self.uid, trace=trace, state=self.state,
                              first_byte=f"{first_byte_at:.4f}", last_byte=f"{last_byte_at:.4f}")
        self.bed.on_received(self, trace, first_byte_at)
        if self.state != "ready":
            writer.write(message("HTTP/1.1 503 Service Unavailable", [("X-Never-Ran", "1")]))
            self.bed.record.write("host-turned-away", host=self.uid, trace=trace)
            return True
        key = headers.get("idempotency-key")
        if key and not self.bed.first_of_its_key(self, key, last_byte_at):
            self.bed.record.write("host-dropped-repeat", host=self.uid, trace=trace)
        else:
            self.bed.record.write("host-runs", host=self.uid, trace=trace)
            self.bed.runs.setdefault(trace, []).append((self.uid, last_byte_at))
        # Work stops when its request is cancelled, so the end of the connection is awaited as well.
        work = asyncio.ensure_future(asyncio.sleep(self.work_s(request["qos"])))
        closed = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done() or closed.done():
            work.cancel()
            self.bed.record.write("host-cancelled", host=self.uid, trace=trace)
            return False
        closed.cancel()
        try:
            await closed
        except asyncio.CancelledError:
            pass
        if self.bed.random.random() < self.error_share:
            self.bed.record.write("host-answered", host=self.uid, trace=trace, status=500)
            writer.write(message("HTTP/1.1 500 Internal Server Error", []))
            return True
        made = self.bed.answer_body(self, trace)
        self.bed.made.setdefault(trace, set()).add(made)
        self.bed.record.write("host-answered", host=self.uid, trace=trace, status=200)
        self.answer(writer, 200, made, "request", trace)
        return True

    def answer(self, writer, status, body, kind, trace):
        bytes_ = message(f"HTTP/1.1 {status} OK", [("Content-Type", "text/plain")], body)
        writer.write(bytes_)
        if self.after_answer:
            self.after_answer(writer, bytes_, kind, trace)


class _Prefixed:
    """A stream reader with one byte that has been read already."""

    def __init__(self, first, reader):
        self.first, self.reader = first, reader

    async def readuntil(self, separator):
        try:
            return self.first + await self.reader.readuntil(separator)
        except asyncio.IncompleteReadError as error:
            raise ConnectionResetError("the stream ended inside a message") from error

    async def readexactly(self, length):
        return await self.reader.readexactly(length)


class Agent:
    """The agent of discovery on one gateway's machine: has the list at hand and serves polls and watches."""

    def __init__(self, bed, name):
        self.bed, self.name, self.port = bed, name, 0
        # The seconds between the header of an answer, which is written at once, and its list.
        self.list_delay_s = 0.0

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = server.sockets[0].getsockname()[1]
        self.bed.servers.append(server)

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                received = await read_message(reader)
                if received is None:
                    break
                path = received[0].split(" ")[1]
                start = re.search(r"[?&]from=(\d+)", path)
                hold = re.search(r"[?&]hold_ms=(\d+)", path)
                called_at = self.bed.record.now()
                text = await self.list_text(int(start.group(1)) if start else None,
                                            int(hold.group(1)) / 1000 if hold else 0.0)
                answer = message("HTTP/1.1 200 OK", [("Content-Type", "application/json")], text)
                if self.list_delay_s:
                    writer.write(answer[:-len(text)])
                    await asyncio.sleep(self.list_delay_s)
                    answer = text
                writer.write(answer)
                await writer.drain()
                self.bed.record.write("discovery-answered", agent=self.name, path=path,
                                      called=f"{called_at:.4f}", rev=self.bed.rev)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def list_text(self, known, hold_s):
        bed = self.bed
        if known is None:
            return json.dumps(bed.complete_list()).encode()
        if known >= bed.rev and hold_s > 0:
            try:
                await asyncio.wait_for(bed.wait_for_change(known), hold_s)
            except asyncio.TimeoutError:
                pass
        changed = [host.entry() for host in bed.hosts if bed.changed_at_rev.get(host.uid, 0) > known]
        return json.dumps({"rev": bed.rev, "all": False, "targets": changed}).encode()


class Gateway:
    """One real gateway, started with the `run` command of the deploy file."""

    def __init__(self, bed, rank, config):
        self.bed, self.rank, self.config = bed, rank, config
        self.process = None

    @property
    def address(self):
        return ("127.0.0.1", int(self.config["listen"].rsplit(":", 1)[1]))

    async def start(self):
        folder = os.path.join(self.bed.folder, self.config["name"])
        tmp = os.path.join(folder, "tmp")
        os.makedirs(tmp, exist_ok=True)
        path = os.path.join(folder, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        environment = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "TMPDIR": tmp,
                       "BALANCER_CONFIG": path, "BALANCER_NAME": self.config["name"],
                       "BALANCER_LISTEN": self.config["listen"],
                       "BALANCER_DISCOVERY": self.config["discovery"],
                       "SPARTRACK_LOG": os.environ.get("SPARTRACK_LOG", "warning")}
        log = open(os.path.join(folder, "log.txt"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, preexec_fn=_end_with_parent)
        log.close()
        self.bed.record.write("gateway-started", name=self.config["name"], pid=self.process.pid,
                              listen=self.config["listen"])

    async def wait_until_ready(self, limit_s=30):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CouldNotRun(f"{self.config['name']} ended at its start: {self.process.returncode}")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(message("GET /_health HTTP/1.1", [("Host", "origin.svc")]))
                received = await asyncio.wait_for(read_message(reader), 1)
                writer.close()
                if received and received[0].split(" ")[1] == "200":
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun(f"{self.config['name']} was not ready within {limit_s} s")

    async def stop(self):
        if self.process is None:
            return
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def log_tail(self):
        path = os.path.join(self.bed.folder, self.config["name"], "log.txt")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()[-5:]


def _end_with_parent():
    """In a started process: has the kernel kill it when the case's own process ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


def run_command():
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        return re.search(r'^run\s*=\s*"([^"]*)"', file.read(), re.MULTILINE).group(1)


class Testbed:
    """Gateways, hosts and discovery of one case. The figures are those of the site recife-campus."""

    gateways_count = 3
    hosts_count = 12
    zones = ("room-a", "room-b", "room-c")
    probe_s = 0.0005
    # Whether hosts receive into small buffers, so that a byte that a host has not read has not come to it.
    small_buffers = False
    # Seconds of work of one request, by class.
    work_s = {"skip-lookup": (0.024, 0.042), "booking-save": (0.053, 0.092), "invoice-issue": (0.082, 0.140)}
    deadline_ms = {"skip-lookup": 600, "booking-save": 3000, "invoice-issue": 2000}
    repeat_window_ms = {"skip-lookup": 5000, "booking-save": 3000, "invoice-issue": 5000}
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}

    def __init__(self, case_folder, seed):
        self.record = Record(case_folder)
        self.random = random.Random(seed)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.servers, self.hosts, self.agents, self.gateways = [], [], [], []
        self.rev, self.changed_at_rev = 41, {}
        self._changed = None
        self.sent, self.made = {}, {}
        self.unknown_ids = 0
        # For each request, the hosts that ran it and when its last byte had come there.
        self.runs = {}
        # For each cell, when each idempotency key came first.
        self._keys = {}
        self.record.write("case", seed=seed, trouble=os.environ.get("TROUBLE", "1"))

    def on_received(self, host, trace, first_byte_at):
        """Called for each attempt that has come whole to a host."""

    def first_of_its_key(self, host, key, now):
        """The hosts of one cell drop a repeat for the time in the settings, and 50 ms longer."""
        keys = self._keys.setdefault(host.cell, {})
        if key in keys and now - keys[key] <= self.repeat_window_ms["booking-save"] / 1000 + 0.05:
            return False
        keys[key] = now
        return True

    def answer_body(self, host, trace):
        return f"answer to {trace} by {host.uid}".encode()

    def complete_list(self):
        listed = [host.entry() for host in self.hosts if host.state != "gone"]
        return {"rev": self.rev, "all": True, "targets": listed}

    def change(self, host, state):
        """Changes the state of a host in the list; all agents have the change at once."""
        self.rev += 1
        host.state = state
        self.changed_at_rev[host.uid] = self.rev
        self.record.write("list-changed", rev=self.rev, host=host.uid, state=state)
        changed, self._changed = self._changed, None
        if changed:
            changed.set()

    async def wait_for_change(self, known):
        while self.rev <= known:
            if self._changed is None:
                self._changed = asyncio.Event()
            await self._changed.wait()

    async def start(self):
        self._changed = None
        for number in range(self.hosts_count):
            host = Host(self, f"s-{number:08x}", self.zones[number % 3], number // 4)
            await host.start()
            self.hosts.append(host)
        listen = [free_port() for _ in range(self.gateways_count)]
        peers = [f"127.0.0.1:{free_port(socket.SOCK_DGRAM)}" for _ in range(self.gateways_count)]
        for rank in range(self.gateways_count):
            agent = Agent(self, f"agent-{rank}")
            await agent.start()
            self.agents.append(agent)
            config = {"name": f"n{rank}", "listen": f"127.0.0.1:{listen[rank]}",
                      "discovery": f"127.0.0.1:{agent.port}", "seed": f"{self.random.getrandbits(64):016x}",
                      "limits": self.limits, "peer_listen": peers[rank], "peers": peers,
                      "known": self.complete_list(), "settings": self.settings(rank)}
            self.gateways.append(Gateway(self, rank, config))
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await gateway.wait_until_ready()
        self.record.write("gateways-ready")

    async def stop(self):
        for gateway in self.gateways:
            await gateway.stop()
        for server in self.servers:
            server.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def ended_gateways(self):
        return [gateway for gateway in self.gateways
                if gateway.process is not None and gateway.process.returncode is not None]

    def settings(self, rank):
        """The settings of the example in WIRE, with the figures of the site file."""
        def request_class(name, effect, value, promise_ms, scope, late):
            return {"name": name, "effect": effect, "value": value, "dedupScope": scope, "lateWorth": late,
                    "deadlineUs": self.deadline_ms[name] * 1000, "promiseUs": promise_ms * 1000,
                    "repeatWindowUs": self.repeat_window_ms[name] * 1000, "stream": False}

        def plan(name, rate, burst, factor, cost, hard_rate=0.0, hard_burst=0.0, slack=0.0, out=0):
            return {"name": name, "rate": rate, "mostAtOnce": burst, "worthFactor": factor,
                    "excessCost": cost, "excessWorth": 0.0, "hardRate": hard_rate, "hardBurst": hard_burst,
                    "tolerance": slack, "maxOut": out}

        return {
            "rank": rank, "instances": self.gateways_count, "locality": self.zones[rank % 3],
            "failureDomains": list(self.zones), "kinds": ["std-2c", "slow-2c"], "tickUs": 2000,
            "membershipMode": "automatic", "stage": 0, "stages": ["booking-fleet"], "weights": "off",
            "clients": {"marksRetry": False},
            "reporting": {"how": "off", "names": []},
            "familyInfo": {"countFee": 0.0, "countLimitUs": 0, "mailPerS": 40.0, "mayCount": False,
                           "meterUs": 0, "truedUp": False, "unitsTop": 3},
            "ceilings": {"cancel": True, "connIdleUs": 30000000, "connectTimeoutUs": 250000,
                         "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "maxAttempts": 4, "maxOpen": 20000,
                         "maxRetryAfterUs": 1000000, "maxStreams": 32, "mayDuplicate": True, "peers": True,
                         "probes": True, "retryAfter": True},
            "costs": {"crossZone": 0.005, "lateFail": 0.021, "peer": 0.01, "probe": 0.01, "waste": 0.097},
            "guarantees": {"answerSlackUs": 8000, "askWithinUs": 10000000, "coldUs": 14000000,
                           "fallUs": 1000000, "overloadFactor": 2.5, "startCapacity": 0.15,
                           "stopSendingWithinUs": 250000},
            "requestClasses": [request_class("skip-lookup", "retryable", 1.0, 250, "all", 0.0),
                               request_class("booking-save", "dedup", 5.0, 750, "cell", 0.2),
                               request_class("invoice-issue", "fragile", 5.0, 800, "all", 0.0)],
            "tiersOfService": [plan("basico", 2.0, 9.0, 0.8, 0.5),
                               plan("frota", 11.0, 31.0, 1.1, 0.8, 25.0, 68.0, 7.0, 2),
                               plan("completo", 50.0, 119.0, 1.6, 0.8)]}

    def new_request(self, qos=None, contract="completo", customer=None, body=None):
        """Registers a request of a client and returns (trace id, bytes)."""
        trace = f"{self.random.getrandbits(64):016x}"
        if qos is None:
            qos = self.random.choices(("skip-lookup", "booking-save", "invoice-issue"), (55, 30, 15))[0]
        customer = self.random.randrange(40) if customer is None else customer
        headers = [("Host", "origin.svc"), ("X-Trace-Id", trace), ("X-Qos", qos), ("X-Contract", contract),
                   ("X-Client-Id", f"{0x1000 + customer:016x}"),
                   ("X-Expires-In-Ms", str(self.deadline_ms[qos])),
                   ("X-Metering", f"units=1,spread={self.gateways_count},first=0")]
        method = "GET"
        if qos != "skip-lookup":
            method = "POST"
            body = b"{}" if body is None else body
        if qos == "booking-save":
            headers.append(("Idempotency-Key", f"{self.random.getrandbits(128):032x}"))
        self.sent[trace] = {"qos": qos, "at": self.record.now(), "customer": customer}
        lines = [f"{method} /api HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
        if body is not None:
            lines.append(f"Content-Length: {len(body)}")
        return trace, ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


class Client:
    """The clients behind the front of one gateway: keep connections, one request at a time on each."""

    def __init__(self, bed, gateway):
        self.bed, self.gateway = bed, gateway
        self.idle = []
        # Final answers: trace id -> (status, body). A request without one is in `unanswered`.
        self.answers, self.unanswered = {}, {}

    async def send(self, **kind):
        bed = self.bed
        trace, bytes_ = bed.new_request(**kind)
        deadline_s = bed.deadline_ms[bed.sent[trace]["qos"]] / 1000
        try:
            reader, writer, reused = self.take_idle() or await self.connect()
            writer.write(bytes_)
            bed.sent[trace]["at"] = bed.record.now()
            bed.record.write("client-sent", gateway=self.gateway.config["name"], trace=trace,
                             qos=bed.sent[trace]["qos"])
            try:
                received = await asyncio.wait_for(read_message(reader), deadline_s + 0.55)
            except ConnectionError:
                received = None
            if received is None and reused:
                # The request has crossed the end of a resting connection: it is sent once more.
                reader, writer, _ = await self.connect()
                writer.write(bytes_)
                bed.record.write("client-sent-again", trace=trace)
                received = await asyncio.wait_for(read_message(reader), deadline_s + 0.55)
            if received is None:
                raise ConnectionResetError("closed without an answer")
        except (OSError, asyncio.TimeoutError) as error:
            self.unanswered[trace] = type(error).__name__
            bed.record.write("client-no-answer", trace=trace, reason=type(error).__name__)
            return trace
        status, body = int(received[0].split(" ")[1]), received[2]
        self.answers[trace] = (status, body)
        bed.record.write("client-answered", trace=trace, status=status, body=repr(body[:60]))
        if received[1].get("connection", "").lower() == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        return trace

    def take_idle(self):
        while self.idle:
            reader, writer = self.idle.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, True
            writer.close()
        return None

    async def connect(self):
        reader, writer = await asyncio.open_connection(*self.gateway.address)
        return reader, writer, False

    async def run(self, per_second, seconds):
        """Sends requests at random times, `per_second` in the mean."""
        tasks, end = set(), time.monotonic() + seconds
        while time.monotonic() < end:
            tasks.add(asyncio.ensure_future(self.send()))
            await asyncio.sleep(self.bed.random.expovariate(per_second))
        await asyncio.gather(*tasks)


def main(case):
    """Runs `case(trouble, seed)` and exits with its verdict."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))
    for handled in (signal.SIGTERM, signal.SIGINT):
        signal.signal(handled, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        sys.exit(asyncio.run(asyncio.wait_for(case(trouble, seed), 110)))
    except Exception as error:  # a fault of the case itself says nothing about the rule
        traceback.print_exc()
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
