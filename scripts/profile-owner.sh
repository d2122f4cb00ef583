#!/usr/bin/env bash
# Profiles the owner of the shard beside the stand-in of the users' platform: rates, processor time, system
# calls, and the shares of its parts. Needs `perf` and the right to trace system calls.
# usage: scripts/profile-owner.sh [HOSTS [WORKERS [TASKS_PER_SECOND [SERVING_JOBS]]]]
set -euo pipefail
cd "$(dirname "$0")/.."
hosts=${1:-3} workers=${2:-1100} tasks=${3:-2900} serving=${4:-214}
export CARGO_PROFILE_RELEASE_DEBUG=line-tables-only RUSTFLAGS=-Cforce-frame-pointers=yes
export CARGO_TARGET_DIR=${PROFILE_TARGET_DIR:-target/profile}
cargo build --release --locked --quiet --bin jayforkd --example standin
bin=$CARGO_TARGET_DIR/release
dir=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

# Four free ports in a row for each host, below those that Linux gives to connections.
base=$((11000 + RANDOM % 15000))
port() { echo $((base + $1 * 4 + $2)); }
# Prints address $2 of the ready line of stand-in $1.
address() { sed "s/.*\"$2\":\"\([^\"]*\)\".*/\1/" "$dir/$1.out"; }

"$bin/examples/standin" platform --workers "$workers" --threads 4 --data-centres 3 \
  >"$dir/platform.out" 2>"$dir/platform.err" &
pids+=($!)
for _ in $(seq 100); do [ -s "$dir/platform.out" ] && break; sleep 0.1; done

fronts=
for host in $(seq 0 $((hosts - 1))); do
  # The first three hosts are large, the others cannot own the shard.
  processor=0.069
  [ "$host" -lt 3 ] && processor=0.5
  cat >"$dir/$host.ini" <<INI
[host]
name = edge-$host
data_centre = dc-$((host % 3))
region = region-$((host % 2))
processor = $processor
[listen]
front = 127.0.0.1:$(port "$host" 0)
ready = 127.0.0.1:$(port "$host" 1)
peer = 127.0.0.1:$(port "$host" 2)
metrics = 127.0.0.1:$(port "$host" 3)
[peers]
seeds = 127.0.0.1:$(port 0 2),127.0.0.1:$(port 1 2),127.0.0.1:$(port 2 2)
[store]
address = $(address platform address)
[workers]
lease = 10000
stop_time = 400
[jobs]
status_keep = 120 s
[log]
level = info
format = json
INI
  "$bin/jayforkd" --on-platform --settings "$dir/$host.ini" >"$dir/$host.log" 2>"$dir/$host.err" &
  pids+=($!)
  fronts+=${fronts:+,}127.0.0.1:$(port "$host" 0)
done
sleep 8

"$bin/examples/standin" load --front "$fronts" --tasks "$tasks" --serving "$serving" --seconds 40 \
  --wait-seconds 10 >"$dir/load.out" 2>"$dir/load.err" &
load=$!
sleep 14
owner=$(basename "$(grep -l 'claiming the shard' "$dir"/*.log | head -n 1)" .log)
pid=${pids[$((owner + 1))]}

# Prints the owner's counters: time, processor time in ticks of 10 ms, switches and calls.
counters() {
  echo "seconds $(date +%s.%N)"
  awk '{ print "user_ticks", $14; print "system_ticks", $15 }' "/proc/$pid/stat"
  awk '/ctxt/ { print $1, $2 }' "/proc/$pid/status"
  curl -s "127.0.0.1:$(port "$owner" 3)/metrics" | grep -E '^jayfork_(worker_orders|client_answers)_total'
}

counters >"$dir/before"
perf stat -e raw_syscalls:sys_enter,syscalls:sys_enter_writev,syscalls:sys_enter_recvfrom \
  -e syscalls:sys_enter_epoll_pwait -p "$pid" -o "$dir/stat" -- sleep 10
counters >"$dir/after"
perf record -B -N -F 1499 -g -p "$pid" -o "$dir/perf.data" -- sleep 10 >/dev/null 2>&1
wait "$load"

echo "== owner edge-$owner of $hosts hosts, $workers workers; load average $(cut -d' ' -f1 /proc/loadavg)"
echo "== per second"
awk 'NR == FNR { before[$1] = $2; next }
  $1 == "seconds" { seconds = $2 - before[$1]; next }
  { printf "%9.1f  %s\n", ($2 - before[$1]) / seconds, $1 }' "$dir/before" "$dir/after"
echo "== system calls in 10 s"
grep sys_enter "$dir/stat"
echo "== shares of the processor time"
perf script -i "$dir/perf.data" -F comm,ip,sym 2>/dev/null | awk -f scripts/profile-parts.awk
echo "== jobs and runs"
cat "$dir/load.out"
curl -s "$(address platform control)/runs"
echo
