"""Clients stop in the middle of a request and stay; a few new connections come when descriptors are short."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
import testbed  # noqa: E402

DESCRIPTORS = 256  # TERMS: between 256 and 1,024
BAD = int(os.environ.get("BAD", "60"))  # clients that stop in the middle of a request and stay
USUAL = 79  # clients with one request each, at the same time; TERMS: requests hold a third of the descriptors
NEW = 5  # clients that connect after them; 79 + 5 is under 85
GONE = 0.1 + 0.05 + 0.15  # STANDING: an attempt later than 0.1 s after a close is a break; 50 ms and a held-up gateway more
ANSWER = 0.3  # how long the hosts work on each request of the 84
KIND = "invoice-issue"
LEFT_MS = 1000  # BRIEF: a try is given up after 50 to 100% of the 2 s


def make(folder):
    case = testbed.Case(folder, hosts=20, host_work=(0.005, 0.01))
    case.sockets = DESCRIPTORS
    return case


async def bad_client(case, trace):
    """A proper request first, then half of the next one. Stays until the gateway closes."""
    host, port = case.listen[0].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    result = testbed.Result()
    writer.write(case.head(trace, "skip-lookup"))
    await asyncio.wait_for(case.read_answer(reader, result), 2)
    case.record.line("bad client", "trace %s: answered with %d, sends half a request now" % (trace, result.status))
    writer.write(case.head(case.next_trace(), "skip-lookup")[:60])
    began = case.record.now()
    try:
        await asyncio.wait_for(reader.read(-1), 8)
    except (OSError, asyncio.TimeoutError):
        pass
    case.record.line("bad client", "trace %s: closed after %.2f s" % (trace, case.record.now() - began))
    writer.close()


async def usual_client(case, number, left):
    """One request on a new connection, which is kept afterwards. The client leaves when its time is over."""
    trace = case.next_trace()
    host, port = case.listen[0].split(":")
    result = testbed.Result()
    began = case.record.now()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(case.head(trace, KIND, customer=number, body=b"x" * 100, left_ms=LEFT_MS, path="/api/slow"))
    case.record.line("client", "sent trace %s to n0" % trace)
    try:
        await asyncio.wait_for(case.read_answer(reader, result), began + LEFT_MS / 1000 - case.record.now())
        case.keep.append(writer)
    except (asyncio.IncompleteReadError, OSError, asyncio.TimeoutError) as error:
        result.end = "%s, closes its connection" % type(error).__name__
        writer.close()
        left[trace] = case.record.now()
    case.record.line("client", "answer trace %s: status %s after %.3f s %s" % (
        trace, result.status or "none", case.record.now() - began, result.end))


async def play(case):
    case.keep = []

    def choose(host):
        async def slow(writer, trace):
            await asyncio.sleep(ANSWER)
            writer.write(host.answer(trace))
            await writer.drain()
            return True
        return lambda request: slow if "/slow" in request.first else None
    for host in case.hosts:
        host.spoil = choose(host)
    load = case.spawn(case.load(9, 40, ranks=[1, 2]))
    # Teaches the gateway its hosts, as traffic from before would have.
    await case.load(3, 150, ranks=[0])
    for _, writer in case.idle.get(case.listen[0], []):
        writer.close()
    case.idle[case.listen[0]] = []
    await asyncio.sleep(0.2)
    if case.trouble:
        for _ in range(BAD):
            case.spawn(bad_client(case, case.next_trace()))
        await asyncio.sleep(0.3)
    left = {}
    usual = [case.spawn(usual_client(case, i, left)) for i in range(USUAL)]
    await asyncio.sleep(0.1)
    new = [case.spawn(usual_client(case, USUAL + i, left)) for i in range(NEW)]
    await asyncio.gather(*usual, *new)
    await load
    late = []
    for host in case.hosts:
        for at, trace, _ in host.received:
            if trace in left and at > left[trace] + GONE:
                late.append(at - left[trace])
                case.record.line("check", "trace %s: an attempt came to %s %.3f s after its client had left"
                                 % (trace, host.uid, late[-1]))
    print("clients that left at the end of their time %d; attempts too long after that %d, the latest after %.2f s" % (
        len(left), len(late), max(late, default=0)))
    return testbed.BROKEN if late else testbed.HELD


testbed.main(HERE, make, play)
