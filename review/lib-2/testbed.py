"""Stand-ins for the cases of the second review: clients, hosts, discovery's agent and the platform.

Everything runs on loopback addresses and the real clock. The gateway is started with the deploy file's
command `run`. Python's standard library only.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from email.utils import formatdate

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, NO_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run; nothing can be said about the rule."""


class Record:
    """Writes `record.txt`: one line for each event, with the seconds since the start of the case."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def line(self, who, what):
        if self.file.closed:
            return
        self.file.write("%9.4f %s %s\n" % (self.now(), who, what))

    def close(self):
        self.file.flush()
        self.file.close()


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def free_address(kind=socket.SOCK_STREAM):
    return "127.0.0.1:%d" % free_port(kind)


def run_command():
    """The deploy file's command `run`."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        found = re.search(r'^run = "(.*)"$', deploy.read(), re.MULTILINE)
    if not found:
        raise CannotRun("the deploy file has no command `run`")
    return found.group(1)


class Entry:
    """A host as the list shows it."""

    def __init__(self, uid, address, zone, cell, state="ready"):
        self.uid, self.address, self.zone, self.cell, self.state = uid, address, zone, cell, state

    def json(self):
        return {"uid": self.uid, "endpoint": self.address, "az": self.zone, "model": "std-2c",
                "pod_group": self.cell, "state": self.state, "capacity_hint": 1.0, "boot_ms": 0}


class Catalog:
    """What discovery knows: the hosts and the changes, by version."""

    def __init__(self, entries):
        self.entries = {entry.uid: entry for entry in entries}
        self.rev = 41
        self.changes = []  # (rev, uid)
        self.changed = asyncio.Event()

    def set_state(self, uid, state):
        self.rev += 1
        self.entries[uid].state = state
        self.changes.append((self.rev, uid))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        listed = [e.json() for e in self.entries.values() if e.state != "gone"]
        return {"rev": self.rev, "all": True, "targets": listed}

    def since(self, rev):
        uids = dict.fromkeys(uid for at, uid in self.changes if at > rev)
        return {"rev": self.rev, "all": False, "targets": [self.entries[uid].json() for uid in uids]}


class Agent:
    """Discovery's agent on one gateway's machine. `delay`: how late it writes each answer. `pieces`: the bytes of
    each piece of an answer and the seconds between two pieces; None: an answer comes at once. `silent`: it takes
    calls and answers none."""

    def __init__(self, record, name, catalog):
        self.record, self.name, self.catalog = record, name, catalog
        self.delay = 0.0
        self.pieces = None
        self.silent = False
        self.server = None
        self.address = None
        self.answered = 0
        self.given_up = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                late = self.delay
                rev = re.search(r"from=(\d+)", target)
                hold = re.search(r"hold_ms=(\d+)", target)
                if rev and hold:
                    until = time.monotonic() + int(hold.group(1)) / 1000
                    while self.catalog.rev <= int(rev.group(1)) and time.monotonic() < until:
                        try:
                            await asyncio.wait_for(self.catalog.changed.wait(), until - time.monotonic())
                        except asyncio.TimeoutError:
                            break
                if late:
                    await asyncio.sleep(late)
                while self.silent:
                    await asyncio.sleep(0.05)
                answer = self.catalog.since(int(rev.group(1))) if rev else self.catalog.whole()
                body = json.dumps(answer).encode()
                if writer.is_closing() or reader.at_eof():
                    raise ConnectionError
                await self.write(writer, b"HTTP/1.1 200 OK\r\nDate: %s\r\nContent-Type: application/json\r\n"
                                 b"Cache-Control: no-store\r\nContent-Length: %d\r\n\r\n%s"
                                 % (formatdate(usegmt=True).encode(), len(body), body))
                self.answered += 1
                if rev is None or answer["targets"]:
                    self.record.line(self.name, "answered %s: rev %d, all %s, %s" % (
                        target, answer["rev"], answer["all"],
                        " ".join(t["uid"] + "=" + t["state"] for t in answer["targets"])))
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            self.given_up += 1
        finally:
            writer.close()


    async def write(self, writer, text):
        size, pause = self.pieces or (len(text), 0)
        for start in range(0, len(text), size):
            if start:
                await asyncio.sleep(pause)
            if writer.is_closing():
                raise ConnectionError
            writer.write(text[start:start + size])
            await writer.drain()


class Message:
    """A parsed head of a request or an answer."""

    def __init__(self, head):
        lines = head.decode("latin-1").split("\r\n")
        self.first = lines[0]
        self.fields = {}
        for line in lines[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                self.fields[name.strip().lower()] = value.strip()

    def get(self, name, default=None):
        return self.fields.get(name, default)


class Host:
    """A host that follows the protocol page. `spoil(request)` may return a coroutine function that takes over
    the writing of an answer: `await spoilt(writer, trace)`, which returns whether the connection goes on."""

    def __init__(self, record, uid, zone, cell, work=(0.02, 0.04), seed=1):
        self.record, self.uid, self.zone, self.cell = record, uid, zone, cell
        self.work = work
        self.random = random.Random("%s %d" % (uid, seed))
        self.draining = False
        self.spoil = None
        self.server = None
        self.entry = None
        self.received = []  # (time, trace, key)
        self.connections = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.entry = Entry(self.uid, address, self.zone, self.cell)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        first = await reader.readexactly(1)
        began = self.record.now()
        request = Message(first + await reader.readuntil(b"\r\n\r\n"))
        length = int(request.get("content-length", "0"))
        if length:
            await reader.readexactly(length)
        method, path = request.first.split(" ")[:2]
        if path in ("/ping", "/_load"):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        trace = request.get("x-trace-id")
        if trace is None:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        key = request.get("idempotency-key")
        self.received.append((began, trace, key))
        self.record.line(self.uid, "received %s %s trace %s key %s draining %s"
                         % (method, path, trace, key, self.draining))
        if self.draining:
            writer.write(b"HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
            await writer.drain()
            return True
        spoilt = self.spoil(request) if self.spoil else None
        await asyncio.sleep(self.random.uniform(*self.work))
        self.record.line(self.uid, "done with trace %s" % trace)
        if spoilt:
            return await spoilt(writer, trace)
        writer.write(self.answer(trace))
        await writer.drain()
        return True

    def answer(self, trace):
        body = ("served %s by %s\n" % (trace, self.uid)).encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


CLASSES = [
    {"deadlineUs": 600000, "dedupScope": "all", "effect": "retryable", "lateWorth": 0.0, "name": "skip-lookup",
     "promiseUs": 250000, "repeatWindowUs": 5000000, "stream": False, "value": 1.0},
    {"deadlineUs": 3000000, "dedupScope": "cell", "effect": "dedup", "lateWorth": 0.2, "name": "booking-save",
     "promiseUs": 750000, "repeatWindowUs": 3000000, "stream": False, "value": 5.0},
    {"deadlineUs": 2000000, "dedupScope": "all", "effect": "fragile", "lateWorth": 0.0, "name": "invoice-issue",
     "promiseUs": 800000, "repeatWindowUs": 5000000, "stream": False, "value": 5.0}]
DEADLINE_MS = {c["name"]: c["deadlineUs"] // 1000 for c in CLASSES}
PLANS = [
    {"excessCost": 0.5, "excessWorth": 0.0, "hardBurst": 0.0, "hardRate": 0.0, "maxOut": 0, "mostAtOnce": 9.0,
     "name": "basico", "rate": 2.0, "tolerance": 0.0, "worthFactor": 0.8},
    {"excessCost": 0.8, "excessWorth": 0.0, "hardBurst": 68.0, "hardRate": 25.0, "maxOut": 2, "mostAtOnce": 31.0,
     "name": "frota", "rate": 11.0, "tolerance": 7.0, "worthFactor": 1.1},
    {"excessCost": 0.8, "excessWorth": 0.0, "hardBurst": 0.0, "hardRate": 0.0, "maxOut": 0, "mostAtOnce": 119.0,
     "name": "completo", "rate": 50.0, "tolerance": 0.0, "worthFactor": 1.6}]


def settings(rank, instances, zone):
    """The settings of the pages' example (WIRE, SETTINGS), for one gateway of a small deployment."""
    return {
        "ceilings": {"cancel": True, "connIdleUs": 30000000, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0,
                     "cpuUsPerS": 400000, "maxAttempts": 4, "maxOpen": 20000, "maxRetryAfterUs": 1000000,
                     "maxStreams": 32, "mayDuplicate": True, "peers": True, "probes": True, "retryAfter": True},
        "clients": {"marksRetry": False},
        "costs": {"connection": 0.0, "crossZone": 0.005, "handshake": 0.0, "lateFail": 0.021,
                  "membershipMode": 0.0, "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.01, "waste": 0.097},
        "failureDomains": ["room-a", "room-b", "room-c"],
        "familyInfo": {"countFee": 0.0, "countLimitUs": 0, "mailPerS": 40.0, "mayCount": False, "meterUs": 0,
                       "truedUp": False, "unitsTop": 3},
        "guarantees": {"answerSlackUs": 8000, "askWithinUs": 10000000, "coldUs": 14000000, "fallUs": 1000000,
                       "overloadFactor": 2.5, "startCapacity": 0.15, "stopSendingWithinUs": 250000},
        "instances": instances, "kinds": ["std-2c", "slow-2c"], "locality": zone, "membershipMode": "automatic",
        "rank": rank, "reporting": {"how": "off", "names": []}, "requestClasses": CLASSES,
        "resultMix": {"whole": 0.65, "worstClass": 0.1, "worstTenant": 0.15, "worstWindow": 0.1},
        "serviceType": "gate", "stage": 0, "stages": ["booking-fleet"], "tickUs": 2000,
        "tiersOfService": PLANS, "weights": "off"}


class Gateway:
    """One process of a gateway."""

    def __init__(self, case, rank, folder, memory_mb, generation=1):
        self.case, self.rank, self.folder, self.memory_mb = case, rank, folder, memory_mb
        self.name = "n%d" % rank
        self.label = self.name if generation == 1 else "%s/%d" % (self.name, generation)
        self.generation = generation
        self.listen = case.listen[rank]
        self.admin = free_address()
        self.process = None
        self.most_mb = 0.0

    def start(self, known):
        case = self.case
        config = {
            "name": self.name, "listen": self.listen, "discovery": case.agents[self.rank].address,
            "mgmt": self.admin, "seed": "%016x" % (case.seed * 1000 + self.rank * 10 + self.generation),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": case.sockets},
            "peer_listen": case.peers[self.rank], "peers": case.peers, "known": known,
            "settings": settings(self.rank, case.instances, case.zones[self.rank % len(case.zones)])}
        path = os.path.join(case.folder, "%s-%d.json" % (self.name, self.generation))
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = dict(os.environ)
        environment.update({"BALANCER_CONFIG": path, "BALANCER_NAME": self.name, "BALANCER_LISTEN": self.listen,
                            "BALANCER_DISCOVERY": config["discovery"], "TMPDIR": self.folder,
                            "SPARTRACK_LOG": os.environ.get("GATEWAY_LOG_LEVEL", "info")})
        with open(os.path.join(case.logs, "%s-%d.log" % (self.name, self.generation)), "wb") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        case.record.line(self.label, "started")

    def signal(self, number):
        if self.process.poll() is None:
            self.case.record.line("platform", "%s to %s" % (signal.Signals(number).name, self.label))
            self.process.send_signal(number)

    def ended(self):
        return self.process.poll() is not None

    def memory_now(self):
        """The process's memory in MB: what it holds now, without shared libraries' files."""
        try:
            with open("/proc/%d/status" % self.process.pid, encoding="ascii") as status:
                found = re.search(r"^RssAnon:\s+(\d+) kB", status.read(), re.MULTILINE)
        except OSError:
            return 0.0
        mb = int(found.group(1)) / 1024 if found else 0.0
        self.most_mb = max(self.most_mb, mb)
        return mb

    async def call(self, method, path, body=b""):
        """A call at the operators' address. Returns the status, or 0 if there was no answer."""
        return await simple_call(self.admin, method, path, body)

    async def wait_ready(self, limit=10.0):
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.ended():
                raise CannotRun("%s has ended at its start" % self.label)
            if await simple_call(self.listen, "GET", "/_health") == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRun("%s was not ready in time" % self.label)


async def simple_call(address, method, path, body=b"", limit=1.5):
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), limit)
    except (OSError, asyncio.TimeoutError):
        return 0
    try:
        writer.write(b"%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
                     % (method.encode(), path.encode(), address.encode(), len(body), body))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), limit)
        return int(head.split(b" ")[1])
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0
    finally:
        writer.close()


class Result:
    def __init__(self):
        self.status = 0  # 0: no answer
        self.body = b""
        self.whole = False
        self.keep = False
        self.end = ""


class Case:
    """A deployment: three gateways, their agents, and hosts in three zones."""

    instances = 3
    sockets = 1024
    zones = ["room-a", "room-b", "room-c"]

    def __init__(self, folder, hosts=9, memory_mb=192, seed=None, host_work=(0.02, 0.04), hosts_per_cell=3):
        self.own_folder = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.seed = int(os.environ.get("SEED", "1")) if seed is None else seed
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="gateway-case-")
        self.logs = os.environ.get("GATEWAY_LOGS", self.folder)
        os.makedirs(self.logs, exist_ok=True)
        self.random = random.Random(self.seed)
        self.memory_mb = memory_mb
        self.hosts = [Host(self.record, "s-%08x" % (0x5be2a000 + i), self.zones[i % 3], i // hosts_per_cell,
                           host_work, self.seed) for i in range(hosts)]
        self.gateways = []
        self.agents = []
        self.listen = []
        self.peers = []
        self.catalog = None
        self.tasks = []
        self.traces = 0
        self.idle = {}  # idle client connections, by gateway address
        self.sent = 0
        self.statuses = {}
        self.record.line("case", "seed %d, trouble %s" % (self.seed, self.trouble))

    async def start(self):
        for host in self.hosts:
            await host.start()
        self.catalog = Catalog([host.entry for host in self.hosts])
        for rank in range(self.instances):
            agent = Agent(self.record, "agent-n%d" % rank, self.catalog)
            await agent.start()
            self.agents.append(agent)
            self.listen.append(free_address())
            self.peers.append(free_address(socket.SOCK_DGRAM))
        known = self.catalog.whole()
        for rank in range(self.instances):
            self.start_gateway(rank, known)
        for gateway in self.gateways:
            await gateway.wait_ready()
        self.record.line("case", "all gateways are ready")

    def start_gateway(self, rank, known, generation=1, folder=None):
        if folder is None:
            folder = tempfile.mkdtemp(prefix="tmp-n%d-" % rank, dir=self.folder)
        gateway = Gateway(self, rank, folder, self.memory_mb, generation)
        gateway.start(known)
        self.gateways.append(gateway)
        return gateway

    def take_out(self, hosts, state):
        """The hosts begin to drain, or are gone; discovery has it at once. Returns the time."""
        for host in hosts:
            host.draining = state == "draining"
            self.catalog.set_state(host.uid, state)
            self.record.line("discovery", "%s is %s (rev %d)" % (host.uid, state, self.catalog.rev))
        return self.record.now()

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.append(task)
        return task

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for gateway in self.gateways:
            if gateway.process and not gateway.ended():
                gateway.process.kill()
        for gateway in self.gateways:
            if gateway.process:
                gateway.process.wait()
        for writers in self.idle.values():
            for _, writer in writers:
                writer.close()
        self.record.line("case", "%d requests sent; answers by status: %s" % (
            self.sent, ", ".join("%s: %d" % (s or "none", n) for s, n in sorted(self.statuses.items()))))
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def next_trace(self):
        self.traces += 1
        return "%08x%08x" % (self.random.getrandbits(32), self.traces)

    def head(self, trace, kind, customer=0, plan="completo", units=1, body=b"", key=True, left_ms=None,
             spread=3, first=0, path="/api/x?y=1"):
        """The bytes of a request as the protocol page shows it."""
        left_ms = DEADLINE_MS[kind] if left_ms is None else left_ms
        method = "GET" if kind == "skip-lookup" else "POST"
        lines = ["%s %s HTTP/1.1" % (method, path), "Host: origin.svc", "X-Trace-Id: " + trace, "X-Qos: " + kind,
                 "X-Contract: " + plan, "X-Client-Id: %016x" % (0xb4d60000 + customer),
                 "X-Expires-In-Ms: %d" % left_ms]
        if kind == "booking-save" and key:
            lines.append("Idempotency-Key: %016x%s" % (0x5c0f6e1a2b3d4c59, trace))
        if method == "POST":
            lines.append("Content-Length: %d" % len(body))
        lines.append("X-Metering: units=%d,spread=%d,first=%d" % (units, spread, first))
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + body

    async def connect(self, address):
        waiting = self.idle.setdefault(address, [])
        while waiting:
            reader, writer = waiting.pop()
            if not reader.at_eof() and not writer.is_closing():
                return reader, writer, True
            writer.close()
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        return reader, writer, False

    async def request(self, rank, text, left_s, who="client", trace="", note=""):
        """Sends one request on a kept or a new connection and returns its result. The client waits for `left_s`
        seconds and half a second more."""
        result = Result()
        address = self.listen[rank]
        self.sent += 1
        self.record.line(who, "sent trace %s to n%d%s" % (trace, rank, note))
        began = time.monotonic()
        try:
            for _ in range(2):
                reader, writer, kept = await self.connect(address)
                try:
                    writer.write(text)
                    await asyncio.wait_for(self.read_answer(reader, result), left_s + 0.55)
                except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
                    writer.close()
                    result.end = type(error).__name__
                    # A kept connection that ended without a byte of an answer: once more, on a new one.
                    if kept and result.status == 0:
                        for _, old in self.idle.get(address, []):
                            old.close()
                        self.idle[address] = []
                        continue
                    break
                except asyncio.TimeoutError:
                    writer.close()
                    result.end = "no answer in time"
                    break
                if result.keep:
                    self.idle[address].append((reader, writer))
                else:
                    writer.close()
                break
        except OSError as error:
            result.end = "connect: %s" % type(error).__name__
        self.statuses[result.status] = self.statuses.get(result.status, 0) + 1
        self.record.line(who, "answer trace %s: status %s whole %s after %.0f ms %s" % (
            trace, result.status or "none", result.whole, (time.monotonic() - began) * 1e3, result.end))
        return result

    async def read_answer(self, reader, result):
        head = Message(await reader.readuntil(b"\r\n\r\n"))
        result.status = int(head.first.split(" ")[1])
        result.keep = head.get("connection", "").lower() != "close"
        if head.get("transfer-encoding", "").lower() == "chunked":
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    break
                result.body += piece[:-2]
        else:
            length = head.get("content-length")
            if length is None:
                result.body = await reader.read(-1)
                result.keep = False
            else:
                result.body = await reader.readexactly(int(length))
        result.whole = True

    async def load(self, seconds, per_second, kinds=("skip-lookup",) * 6 + ("booking-save",) * 3 + ("invoice-issue",),
                   ranks=None, customers=24, on_result=None, plans=("completo",)):
        """Requests at an even rate, from many hire firms, spread over the gateways."""
        ranks = list(range(self.instances)) if ranks is None else ranks
        until = self.record.now() + seconds
        pause = 1 / per_second
        due = self.record.now()
        while self.record.now() < until:
            kind = self.random.choice(kinds)
            rank = self.random.choice(ranks)
            trace = self.next_trace()
            customer = self.random.randrange(customers)
            body = b"" if kind == "skip-lookup" else b"x" * 200
            text = self.head(trace, kind, customer, plans[customer % len(plans)], body=body)
            self.spawn(self.one(rank, text, kind, trace, on_result))
            due += pause
            await asyncio.sleep(max(0.0, due - self.record.now()))

    async def one(self, rank, text, kind, trace, on_result):
        result = await self.request(rank, text, DEADLINE_MS[kind] / 1000, trace=trace, note=" " + kind)
        if on_result:
            on_result(trace, kind, result)


def end_unrun(kind, error, trace):
    """An error of the case itself says nothing about the rule. Python's own status for it would be 1."""
    sys.__excepthook__(kind, error, trace)
    os._exit(NO_RUN)


sys.excepthook = end_unrun


def main(folder, make, play, limit=115.0):
    """Runs a case and ends with its verdict: 1 the rule was broken, 0 it held, 2 the case could not run."""

    async def run():
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        case = make(folder)
        try:
            await case.start()
            return await asyncio.wait_for(play(case), limit - case.record.now())
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
            case.record.line("case", "could not run: %r" % error)
            print("could not run: %r" % error)
            return NO_RUN
        finally:
            await case.stop()

    verdict = asyncio.run(run())
    print({HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN", NO_RUN: "the case could not run"}[verdict])
    sys.stdout.flush()
    os._exit(verdict)  # skips the destructors of open streams, which only print noise
