"""Jobs that an owner has stored are refused by the next one, and run all the same."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import lab  # noqa: E402

JOBS = 34
TASKS = 20_000
# 28 a second: 2.6 times the 11 a second of the site.
GAP_S = 0.036
# The store answers 60 times as slowly as in calm, 4 ms.
SLOW_S = 0.236
# The owner is killed that long after the first job, and is down for 3 s.
KILL_S = 0.45


def scenario(env, trouble):
    body = {"spec": '{"lasts":true}', "steps": [{"count": TASKS, "cpu": 500, "memMb": 256, "antiAffinity": 1,
                                                "longRunning": True}]}
    env.wait_for("an owner", env.owner)
    owner = env.owner()
    others = [name for name in env.hosts if name != owner]
    results = {}

    def submit(number):
        time.sleep(GAP_S * number)
        hosts = others[number % len(others):] + others[:number % len(others)]
        job = f"{0x100 + number:016x}"
        results[job] = env.submit(job, body, hosts=hosts)

    if trouble:
        env.control(f"/standin/slow?s={SLOW_S}")
        time.sleep(1)
    env.say(f"{JOBS} jobs of {TASKS} tasks come at once; the owner is {owner}")
    threads = [threading.Thread(target=submit, args=(number,), daemon=True) for number in range(JOBS)]
    for thread in threads:
        thread.start()
    if trouble:
        time.sleep(KILL_S)
        env.say(f"{owner} is killed")
        env.signal(owner, signal.SIGKILL)
        time.sleep(3.5 - KILL_S)
        env.start_host(owner)
        env.control("/standin/slow?s=0")
    for thread in threads:
        thread.join()
    time.sleep(12)
    started = {event["task"].split(".")[0] for event in env.read_events() if event["event"] == "start"}
    refused = {job for job, statuses in results.items() if all(status in (429, 503) for status in statuses)}
    for job in sorted(results):
        env.say(f"{job}: answered {results[job]}, {'has started' if job in started else 'has not started'}")
    known = [job for job in sorted(refused) if env.state(job, others[0]) != 410]
    env.say(f"refused by all answers and started: {sorted(refused & started)}")
    env.say(f"refused by all answers and known: {known}")
    return not refused & started


if __name__ == "__main__":
    sys.exit(lab.run(HERE, scenario))
