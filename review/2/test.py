"""One job that can never be done must not keep the system from serving the others."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))

import deployment  # noqa: E402

EXECUTORS = 7
# A job that can never be done: its tasks are larger than any executor, and there are too many.
LARGE_COUNT = int(os.environ.get("LARGE_COUNT", "60000"))
LARGE_CPU = int(os.environ.get("LARGE_CPU", "64000"))
LARGE_AT_S = 6
TRAFFIC_S = 20
JOBS_PER_S = 3
FINISH_S = 14
QUIET_S = 3


def job_body(count, work_ms):
    step = {"count": count, "cpu": 1000, "mem_mb": 64, "estimated_ms": work_ms}
    return {"spec": f"readings work_ms={work_ms}", "steps": [step, {**step, "depends_on": [0]}]}


def large_body():
    step = {"count": LARGE_COUNT, "cpu": LARGE_CPU, "mem_mb": 64, "estimated_ms": 100}
    first = {**step, "count": 1}
    return {"spec": "readings work_ms=100", "steps": [first, {**step, "depends_on": [0]}]}


async def test(trouble):
    fleet = deployment.Deployment(os.path.join(HERE, "record.txt"), nodes=3, executors=EXECUTORS)
    random.seed(1)
    loop = asyncio.get_running_loop()
    try:
        await fleet.start()
        accepted, requests = [], []
        answered = {"before": [0, 0], "after": [0, 0]}

        async def hand_in(job, node, phase):
            is_accepted = await fleet.submit(job, job_body(4, 600), node)
            answered[phase][0] += 1
            answered[phase][1] += is_accepted
            if is_accepted:
                accepted.append(job)

        async def hand_in_large():
            await asyncio.sleep(LARGE_AT_S)
            fleet.write(f"a client hands in a job of {LARGE_COUNT} tasks, up to 5 times")
            is_accepted = await fleet.submit("5c0e7a21d94b36f8", large_body())
            print(f"the job of {LARGE_COUNT} tasks was accepted: {is_accepted}")

        async def restart():
            await asyncio.sleep(LARGE_AT_S + 4)
            fleet.write("all nodes are killed and start again")
            await fleet.restart_nodes()

        if os.environ.get("RESTART"):
            requests.append(asyncio.ensure_future(restart()))
        if trouble:
            requests.append(asyncio.ensure_future(hand_in_large()))
        for number in range(JOBS_PER_S * TRAFFIC_S):
            phase = "before" if number < JOBS_PER_S * LARGE_AT_S else "after"
            job = f"{random.getrandbits(64):016x}"
            requests.append(asyncio.ensure_future(hand_in(job, number, phase)))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*requests)
        await asyncio.sleep(FINISH_S)
        calm_s = loop.time() - QUIET_S
        states = [await fleet.state(job, number) for number, job in enumerate(accepted)]
        starts = [event for event in fleet.events if event.get("event") == "start"]
        late_starts = sum(event["at_s"] >= calm_s for event in starts)
        open_jobs = len(states) - states.count("completed")
        refused = [event for event in fleet.events if "record_refused" in event]
        lines = [
            f"jobs accepted: {answered['before'][1]} of {answered['before'][0]} before the large one, "
            f"{answered['after'][1]} of {answered['after'][0]} after it",
            f"{FINISH_S} s after the end of the traffic {open_jobs} of {len(accepted)} accepted jobs "
            f"are not completed, and {late_starts} tasks have started in the last {QUIET_S} s",
            f"the store has refused a record {len(refused)} times",
        ]
        for line in lines:
            fleet.write(line)
            print(line)
        # The large job itself may take longer and does not count.
        return open_jobs == 0 or late_starts > 0
    finally:
        await fleet.close()


if __name__ == "__main__":
    deployment.main(test)
