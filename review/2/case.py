"""Case 2: bad clients: some connect and send nothing, some send requests with an unknown contract."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import standins

SECONDS = 75
# The least that TERMS gives an api gateway. Of them, clients hold a third at most for requests: 80 + 5.
SOCKETS = 256
LOAD_CLIENTS = 80
MIXED_CLIENTS = 5
# Requests with an unknown contract that come before a proper one on a connection.
WRONG_REQUESTS = 5
# Clients that send nothing, and connect again some time after their connection was closed.
IDLE_CLIENTS = 90


class Testbed(standins.Testbed):
    gateways_count = 1
    limits = {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS}
    work_s = {"skip-lookup": (0.024, 0.042), "booking-save": (0.14, 0.16), "invoice-issue": (0.082, 0.140)}


async def idle_client(bed, gateway):
    while True:
        try:
            reader, writer = await asyncio.open_connection(*gateway.address)
            await reader.read(1)
            writer.close()
        except OSError:
            pass
        await asyncio.sleep(bed.random.uniform(0.05, 0.2))


async def mixed_client(bed, gateway, wrong_ones):
    """A connection of the front: some requests with an unknown contract, each answered, then a proper one."""
    try:
        reader, writer = await asyncio.open_connection(*gateway.address)
        for number in range(wrong_ones + 1):
            wrong = number < wrong_ones
            trace, bytes_ = bed.new_request("booking-save", contract="retired" if wrong else "completo")
            writer.write(bytes_)
            bed.record.write("mixed-sent", trace=trace, wrong=wrong)
            received = await asyncio.wait_for(standins.read_message(reader), 4)
            bed.record.write("mixed-answered", trace=trace, status=received and received[0].split(" ")[1])
            if received is None:
                break
        writer.close()
    except (OSError, asyncio.TimeoutError) as error:
        bed.record.write("mixed-ended", reason=type(error).__name__)


async def case(trouble, seed):
    bed = Testbed(os.path.dirname(os.path.abspath(__file__)), seed)
    record = bed.record
    crowd, mixed = [], set()
    try:
        await bed.start()
        gateway = bed.gateways[0]
        client = standins.Client(bed, gateway)
        await client.run(60, 4)
        if trouble:
            crowd = [asyncio.ensure_future(idle_client(bed, gateway)) for _ in range(IDLE_CLIENTS)]
        begin = record.now()
        while record.now() < begin + SECONDS and gateway.process.returncode is None:
            mixed = {asyncio.ensure_future(mixed_client(bed, gateway, WRONG_REQUESTS if trouble else 0)) for _ in range(MIXED_CLIENTS)}
            while any(not one.done() for one in mixed) and gateway.process.returncode is None:
                await asyncio.gather(*(client.send(qos="booking-save", customer=number % 40)
                                       for number in range(LOAD_CLIENTS)))
                await asyncio.sleep(0.02)
        await asyncio.sleep(0.2)
        code = gateway.process.returncode
        served = sum(status == 200 for status, _ in client.answers.values())
        total = len(client.answers) + len(client.unanswered)
        result = (f"requests {total}, served {served}, without an answer {len(client.unanswered)}; the gateway "
                  + ("runs" if code is None else f"ended after {record.now() - begin:.1f} s with {code}"))
        record.write("result", text=result)
        print(result)
        if code is not None:
            return standins.BROKEN
        if served < total / 2:
            raise standins.CouldNotRun("fewer than half of the requests were served")
        return standins.HELD
    finally:
        for task in list(crowd) + list(mixed):
            task.cancel()
        await bed.stop()


standins.main(case)
