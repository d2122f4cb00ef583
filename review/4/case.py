"""A minion is lost for good, and 5 s later the host that gives the orders is stopped as planned."""

import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import sim

MINIONS = 20
TASKS = 6
TERM_S, GRACE_S = 5.0, 6.0
# From 6 s after its last run, a standing task may be without a run for less than 3 s.
IDLE_S, SPAN_S = 6.0, 3.0


async def case(world):
    for index in range(MINIONS):
        await world.add_minion(f"i-{index + 1}", lambda task, run: None)
    await world.open()
    step = {"count": TASKS, "cpu": 3200, "memMb": 6400, "estRuntimeMs": 500, "longRunning": True}
    await world.submit("index", [step])
    await world.wait_until(lambda: sum(len(m.runs) for m in world.minions) == TASKS, 10,
                           "the tasks do not start")
    await asyncio.sleep(3.0)
    if sim.TROUBLE:
        minion = max(world.minions, key=lambda other: len(other.runs))
        world.record(f"{minion.id} crashes for good, with {len(minion.runs)} runs")
        minion.crash()
    await asyncio.sleep(TERM_S)
    owner = world.owner()
    world.record(f"SIGTERM to {owner.name}")
    owner.send(signal.SIGTERM)
    try:
        await asyncio.wait_for(owner.process.wait(), GRACE_S)
    except asyncio.TimeoutError:
        owner.send(signal.SIGKILL)
        await owner.process.wait()
    await owner.start()
    await asyncio.sleep(12.0)
    gaps, ended = {}, {}
    for at, what, minion, task, run in world.log_runs:
        if what != "start":
            ended[task] = at
        elif task in ended:
            gaps[task] = at - ended.pop(task)
    for task, at in ended.items():
        gaps[task] = world.record.now() - at
    for task, gap in sorted(gaps.items()):
        world.record.say(f"{task} had no run for {gap:.1f} s")
    world.record.say(f"{len(gaps)} standing tasks lost their run")
    return all(gap < IDLE_S + SPAN_S for gap in gaps.values())


sim.main(case, __file__)
