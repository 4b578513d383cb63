"""Spoilt answers that never end, with the status 500."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import testbed  # noqa: E402

MEMORY_MB = int(os.environ.get("MEMORY_MB", "64"))  # TERMS: between 32 and 192 MB
PIECE = b"10000\r\n" + b"e" * 65536 + b"\r\n"


def make(folder):
    return testbed.Case(folder, memory_mb=MEMORY_MB)


async def never_ends(writer, trace):
    writer.write(b"HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n")
    try:
        while True:
            writer.write(PIECE)
            await writer.drain()
    except (ConnectionError, OSError):
        return False


async def watch_memory(case):
    """The platform: a gateway that holds more than its limit is killed."""
    while True:
        for gateway in list(case.gateways):
            if gateway.ended():
                continue
            mb = gateway.memory_now()
            if mb > MEMORY_MB:
                case.record.line("platform", "%s holds %.0f MB, its limit is %d MB" % (gateway.label, mb, MEMORY_MB))
                case.killed.append(gateway.label)
                gateway.signal(signal.SIGKILL)
        await asyncio.sleep(0.01)


async def play(case):
    case.killed = []
    case.spawn(watch_memory(case))
    bad = case.hosts[4]
    if case.trouble:
        bad.spoil = lambda request: never_ends
    load = case.spawn(case.load(20, 150))
    while not load.done() and not case.killed:
        await asyncio.sleep(0.1)
    await asyncio.sleep(1)
    crashed = [g.label for g in case.gateways if g.ended()]
    for gateway in case.gateways:
        case.record.line("check", "%s: at most %.1f MB" % (gateway.label, gateway.most_mb))
    print("most memory: %s; killed: %s" % (["%.1f MB" % g.most_mb for g in case.gateways], case.killed))
    return testbed.BROKEN if crashed else testbed.HELD


testbed.main(HERE, make, play)
