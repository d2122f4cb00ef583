"""Starts a small deployment on loopback addresses: the store, minions and entry hosts, each a process of its own.

What it starts it ends, by process id. Settings of the entry hosts are those of deploy/entry.ini, filled in with the
figures of a small site.
"""

import http.client
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
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
DAEMON = os.path.join(ROOT, "target", "release", "jayforkd")
PREFIX = "/proofs/"
OTHER_PREFIX = "/merges/"
QUEUE_HOST = "queue.example"
ZONES = [("zone-a", "region-a"), ("zone-b", "region-a"), ("zone-c", "region-b")]


class CannotRun(Exception):
    pass


def free_ports(count):
    """Free ports below those that the system gives to outgoing connections, which could take them before their listener."""
    ports = []
    for port in random.sample(range(12_000, 32_000), 2_000):
        with socket.socket() as one:
            try:
                one.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("not enough free ports")


def call(port, method, path, body=None, timeout=5.0, headers=None):
    """Sends one request; returns the status and the body, or (None, reason) without an answer."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        return None, type(error).__name__
    finally:
        connection.close()


class Lab:
    def __init__(self, case_dir, hosts=6, minions=8, memory_mb=260):
        self.dir = tempfile.mkdtemp(prefix="jayfork-review-")
        self.record = open(os.path.join(case_dir, "record.txt"), "w", buffering=1)
        self.lock = threading.Lock()
        self.started = time.time()
        self.processes = {}
        self.events = os.path.join(self.dir, "events")
        open(self.events, "w").close()
        ports = free_ports(1 + minions + 4 * hosts)
        self.store = ports.pop()
        self.minion_ports = {f"i-{index:04d}": ports.pop() for index in range(minions)}
        self.hosts = {}
        for index in range(hosts):
            zone, region = ZONES[index % len(ZONES)]
            names = ("front", "ready", "peer", "metrics")
            listen = {name: ports.pop() for name in names}
            self.hosts[f"edge-{index}"] = dict(listen, zone=zone, region=region)
        self.memory_mb = memory_mb

    # Processes

    def spawn(self, name, command, log=None):
        out = open(os.path.join(self.dir, (log or name) + ".log"), "ab")
        self.processes[name] = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=out)
        out.close()

    def start_store(self, config):
        self.spawn("store", [sys.executable, os.path.join(HERE, "store.py"), str(self.store)])
        self.wait_for("the store", lambda: call(self.store, "GET", "/log-newest?topic=keyed.op&part=0")[0] == 200)
        self.put_config(config)

    def put_config(self, config):
        self.control("/standin/put?topic=keyed.op&key=config", json.dumps(config))

    def control(self, path, body=""):
        if call(self.store, "POST", path, body)[0] != 200:
            raise CannotRun("the store's stand-in does not answer")

    def start_minion(self, name, *kind):
        index = int(name[2:])
        zone = ZONES[index % len(ZONES)][0]
        command = [sys.executable, os.path.join(HERE, "minion.py"), name, str(self.minion_ports[name]),
                   str(self.store), self.events, zone, f"r-{zone}", *kind]
        self.spawn(name, command)

    def start_host(self, name):
        host = self.hosts[name]
        seeds = ",".join(f"127.0.0.1:{other['peer']}" for other in list(self.hosts.values())[:3])
        settings = os.path.join(self.dir, name + ".ini")
        with open(settings, "w") as file:
            file.write(f"""[host]
name = {name}
data_centre = {host['zone']}
region = {host['region']}
processor = 0.1

[listen]
front = 127.0.0.1:{host['front']}
ready = 127.0.0.1:{host['ready']}
peer = 127.0.0.1:{host['peer']}
metrics = 127.0.0.1:{host['metrics']}

[peers]
seeds = {seeds}

[store]
address = 127.0.0.1:{self.store}

[workers]
lease = 6000
stop_time = 400

[jobs]
status_keep = 120 s
outage_retry = adaptive

[limits]
memory = {self.memory_mb} MiB
descriptors = 4100

[log]
level = info
format = json
""")
        self.spawn(name, [DAEMON, "--on-platform", "--settings", settings])

    def signal(self, name, number):
        process = self.processes[name]
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def start_all(self, config):
        if not os.path.exists(DAEMON):
            raise CannotRun("target/release/jayforkd is not built")
        self.start_store(config)
        for name in self.minion_ports:
            self.start_minion(name)
        for name in self.hosts:
            self.start_host(name)
        self.wait_for("all hosts to be ready", lambda: all(self.is_ready(name) for name in self.hosts), 20)

    def is_ready(self, name):
        return call(self.hosts[name]["ready"], "GET", "/readiness", timeout=1)[0] == 200

    def wait_for(self, what, condition, limit=10.0):
        end = time.time() + limit
        while time.time() < end:
            if condition():
                return
            time.sleep(0.05)
        raise CannotRun(f"waited {limit} s for {what}")

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs in", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    # What clients and minions see

    def say(self, text):
        with self.lock:
            self.record.write(f"{time.time() - self.started:8.3f} s  {text}\n")

    def client(self, host, method, path, body=None, wait_ms=3_000, quiet=False):
        headers = {"Host": QUEUE_HOST, "Content-Type": "application/json", "X-Request-Timeout-Ms": str(wait_ms)}
        text = json.dumps(body, separators=(",", ":")) if body is not None else None
        status, answer = call(self.hosts[host]["front"], method, path, text, wait_ms / 1000, headers)
        if not quiet:
            shown = answer if status is None else answer.decode(errors="replace")
            sent = f", {len(text)} bytes" if text else ""
            self.say(f"{method} {path}{sent} at {host}: {status} {shown[:200]}".rstrip())
        return status, answer

    def submit(self, job, body, prefix=PREFIX, hosts=None, tries=5):
        """Hands a job in as a client does: again at another host after no answer, a 502 or a 504."""
        names = hosts or list(self.hosts)
        statuses = []
        for attempt in range(tries):
            status, _ = self.client(names[attempt % len(names)], "POST", prefix + job, body)
            statuses.append(status)
            if status not in (None, 502, 504):
                break
        return statuses

    def state(self, job, host=None, prefix=PREFIX, quiet=False):
        host = host or next(iter(self.hosts))
        status, answer = self.client(host, "GET", prefix + job, quiet=quiet)
        if status == 200:
            return json.loads(answer)["state"]
        return status

    def read_events(self):
        with open(self.events) as file:
            return [json.loads(line) for line in file if line.endswith("\n")]

    def say_events(self, task_prefix=""):
        for event in self.read_events():
            if event["event"] == "up" or event["task"].startswith(task_prefix):
                at = event.pop("at") - self.started
                self.say(f"minion at {at:.3f} s: {json.dumps(event)}")

    def owner(self):
        """The host that gives the orders, by the newest epoch in the logs; only to choose where to cause trouble."""
        best = (0, None)
        for name in self.hosts:
            path = os.path.join(self.dir, name + ".log")
            with open(path, "rb") as file:
                for line in file:
                    if b"records of the shard are read" in line:
                        epoch = int(re.search(rb'"epoch":(\d+)', line).group(1))
                        best = max(best, (epoch, name))
        return best[1]


def config(version=1, attempts=4):
    def route(name, prefix, priority):
        return {"name": name, "host": QUEUE_HOST, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": 3_000,
                "targetLatencyMs": 1_000, "priority": priority, "service": "asm", "attempts": attempts, "stretch": 2.0}

    return {"version": version, "routes": [route("proof", PREFIX, 0), route("merge", OTHER_PREFIX, 2)],
            "services": [{"name": "asm", "healthPath": "/health", "maxConns": 64, "protocol": "h1", "tls": False,
                          "enforcesCapacity": False, "spare": False}],
            "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 262_144, "headerTimeoutMs": 3_000,
                       "idleTimeoutMs": 15_000}}


def run(case_dir, scenario, **sizes):
    """Runs `scenario(lab, trouble)`, which returns whether the rule held; the exit code of the script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = None
    try:
        lab = Lab(case_dir, **sizes)
        lab.start_all(config())
        holds = scenario(lab, trouble)
        lab.say("the rule held" if holds else "the rule was broken")
        print("the rule held" if holds else "the rule was broken")
        return 0 if holds else 1
    except CannotRun as error:
        print("the case could not run:", error)
        if lab:
            lab.say(f"the case could not run: {error}")
        return 2
    except Exception:  # A fault of the case is no breach of the rule.
        traceback.print_exc()
        return 2
    finally:
        if lab:
            lab.close()
