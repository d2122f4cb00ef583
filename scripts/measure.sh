#!/usr/bin/env bash
# Measures the resident memory and processor time of three idle entry hosts. Two of them share a
# data centre with the given number of workers and instances; the third is alone in another.
# usage: scripts/measure.sh WORKERS INSTANCES [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
workers=$1 instances=$2 seconds=${3:-30}
cargo build --release --locked --quiet --bins --examples
bin=${CARGO_TARGET_DIR:-target}/release
dir=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$dir"
}
trap cleanup EXIT

free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 10000))
    (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || { echo "$port"; return; }
  done
}

# Starts a stand-in and waits until it prints the line with its addresses.
start_standin() {
  local name=$1
  shift
  "$bin/examples/standin" "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  for _ in $(seq 100); do [ -s "$dir/$name.out" ] && return; sleep 0.1; done
  return 1
}

address() { grep -o '"address":"[^"]*"' "$dir/$1.out" | head -n 1 | cut -d'"' -f4; }
# Prints the host entries of stand-in $1, without the brackets of the list.
hosts() { sed 's/.*"hosts":\[\(.*\)\],"kind".*/\1/' "$dir/$1.out"; }
# Prints the processor time of process $1 in clock ticks, of which Linux counts 100 per second.
processor_ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }

start_standin log log
start_standin workers workers --data-centre karlin --count "$workers"
start_standin instances instances --data-centre karlin --service issue-assembly --count "$instances"
printf '{"hosts":[%s,%s]}\n' "$(hosts workers)" "$(hosts instances)" >"$dir/hosts.json"
start_standin hosts hosts --file "$dir/hosts.json"

names=(karlin-1 karlin-2 zabovresky-1)
centres=(karlin karlin zabovresky)
regions=(praha praha brno)
peers="[peers]"
ports=()
for i in 0 1 2; do
  ports+=("$(free_port)")
  peers+=$'\n'"${names[i]} = ${centres[i]}, ${regions[i]}, 127.0.0.1:${ports[i]}"
done
daemons=()
for i in 0 1 2; do
  cat >"$dir/$i.ini" <<INI
[host]
name = ${names[i]}
data_centre = ${centres[i]}
region = ${regions[i]}
[listen]
api = 127.0.0.1:$(free_port)
peer = 127.0.0.1:${ports[i]}
[platform]
log = http://$(address log)
hosts = http://$(address hosts)
retention = 2 h
$peers
INI
  "$bin/jayforkd" --settings "$dir/$i.ini" >"$dir/$i.out" 2>"$dir/$i.err" &
  pids+=($!)
  daemons+=($!)
done

# The hosts have taken all leases 5 s after the last start.
sleep 10
before=()
for pid in "${daemons[@]}"; do before+=("$(processor_ticks "$pid")"); done
sleep "$seconds"
for i in 0 1 2; do
  pid=${daemons[i]}
  resident=$(awk '/VmRSS/ { print $2 }' "/proc/$pid/status")
  ticks=$(($(processor_ticks "$pid") - before[i]))
  echo "${names[i]}: $resident KiB resident, $(awk -v t="$ticks" -v s="$seconds" 'BEGIN { printf "%.2f", t / s }')% of a core"
done
