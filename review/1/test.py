"""An executor crashes and starts again under its id; tasks that are done must not start again."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))

import deployment  # noqa: E402

EXECUTORS = 7  # one of seven is 0.143 of the service; `srv_crash` takes up to 0.15
JOBS_PER_S = 4
TRAFFIC_S = 26
CRASH_AT_S = 10
DOWN_S = 1.5  # `srv_crash` takes up to 5 s
VICTIM = 0


def job_body():
    step = {"count": 6, "cpu": 2000, "mem_mb": 256, "estimated_ms": 500}
    return {"spec": f"renewal work_ms={random.randint(300, 700)}", "steps": [step]}


def violations(events):
    """Returns starts of tasks of which an end as `done` was taken note of, now or later."""
    done, noted, lapses, found = {}, set(), [], []
    for event in events:
        key = (event.get("executor"), event.get("born"), event.get("number"))
        if event.get("event") == "noted" and event["how"] == "done":
            noted.add((key, event["task"]))
        if event.get("event") == "lapsed":
            lapses.append(event)
    if lapses:
        print(f"{len(lapses)} leases lapsed")
    for event in events:
        if event.get("event") == "end" and event["how"] == "done":
            key = (event["executor"], event["born"], event["number"])
            if (key, event["task"]) in noted:
                done.setdefault(event["task"], event)
        if event.get("event") == "start" and event["task"] in done:
            end = done[event["task"]]
            found.append((event, end))
    return found


async def test(trouble):
    fleet = deployment.Deployment(os.path.join(HERE, "record.txt"), nodes=3, executors=EXECUTORS)
    random.seed(1)
    try:
        await fleet.start()
        accepted, submissions = [], []

        async def hand_in(job, node):
            if await fleet.submit(job, job_body(), node):
                accepted.append(job)

        async def crash():
            await asyncio.sleep(CRASH_AT_S)
            fleet.write(f"executor {VICTIM} crashes (SIGKILL)")
            fleet.executor_processes[VICTIM].kill()
            await asyncio.sleep(DOWN_S)
            new_id = f"i-{99:010x}" if os.environ.get("NEW_ID") else None
            fleet.write(f"executor {VICTIM} starts again, new id: {bool(new_id)}")
            fleet.executor_processes[VICTIM] = await fleet.start_executor(VICTIM, new_id)

        if trouble:
            submissions.append(asyncio.ensure_future(crash()))
        for number in range(JOBS_PER_S * TRAFFIC_S):
            job = f"{random.getrandbits(64):016x}"
            submissions.append(asyncio.ensure_future(hand_in(job, number)))
            await asyncio.sleep(1 / JOBS_PER_S)
        await asyncio.gather(*submissions)
        await asyncio.sleep(14)
        states = [await fleet.state(job, number) for number, job in enumerate(accepted)]
        await asyncio.sleep(0.3)
        found = violations(fleet.events)
        starts = sum(event.get("event") == "start" for event in fleet.events)
        summary = (
            f"{len(accepted)} jobs accepted, {states.count('completed')} completed, {starts} starts, "
            f"{len(found)} of them of tasks whose end as done was taken note of"
        )
        fleet.write(summary)
        print(summary)
        for start, end in found[:5]:
            line = (
                f"{start['task']}: run {end['run']} done on {end['executor']} (end {end['number']}) "
                f"at {end['at_s']:.3f} s, run {start['run']} starts on {start['executor']} "
                f"at {start['at_s']:.3f} s"
            )
            fleet.write(line)
            print(line)
        if starts < 300:
            raise RuntimeError("hardly anything ran")
        return not found
    finally:
        await fleet.close()


if __name__ == "__main__":
    deployment.main(test)
