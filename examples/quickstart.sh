#!/usr/bin/env bash
# Starts stand-ins for the platform and three entry hosts in two data centres on this machine, sends
# an urgent request through each host and runs a batch job. Exits non-zero if any step fails.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --locked --quiet --bins --examples
bin=${CARGO_TARGET_DIR:-target}/debug
dir=$(mktemp -d)
pids=()

cleanup() {
  local status=$?
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  if [ "$status" -ne 0 ]; then
    echo "quickstart failed; last lines of the logs:" >&2
    tail -n 15 "$dir"/*.err >&2 || true
  fi
  rm -rf "$dir"
  exit "$status"
}
trap cleanup EXIT

step() { echo "== $*"; }

# Repeats a command until it succeeds; fails after 20 s.
retry_until_ok() {
  local deadline=$((SECONDS + 20))
  until "$@" >"$dir/last.out" 2>&1; do
    if [ "$SECONDS" -ge "$deadline" ]; then
      echo "command did not succeed within 20 s: $*" >&2
      cat "$dir/last.out" >&2
      return 1
    fi
    sleep 0.1
  done
}

# Prints the answer to GET http://127.0.0.1:$1$2 with its headers.
http_get() {
  exec 3<>"/dev/tcp/127.0.0.1/$1"
  printf 'GET %s HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n' "$2" >&3
  cat <&3
  exec 3<&- 3>&-
}

is_serving() { http_get "$1" /ready | grep -q '^serving'; }

free_port() {
  local port
  while :; do
    port=$((20000 + RANDOM % 10000))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$port"
      return
    fi
  done
}

# Starts a stand-in and waits until it prints the line with its addresses.
start_standin() {
  local name=$1
  shift
  "$bin/examples/standin" "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  pids+=($!)
  retry_until_ok test -s "$dir/$name.out"
}

# Prints the first text field $2 of the address line of stand-in $1.
field() { grep -o "\"$2\":\"[^\"]*\"" "$dir/$1.out" | head -n 1 | cut -d'"' -f4; }
# Prints the host entries of stand-in $1, without the brackets of the list.
hosts() { sed 's/.*"hosts":\[\(.*\)\],"kind".*/\1/' "$dir/$1.out"; }

step "start the platform stand-ins"
start_standin log log
for dc in karlin zabovresky; do
  start_standin "workers-$dc" workers --data-centre "$dc" --count 4
  start_standin "instances-$dc" instances --data-centre "$dc" --service issue-assembly --count 2
done
{
  printf '{"hosts":[%s' "$(hosts workers-karlin)"
  for name in workers-zabovresky instances-karlin instances-zabovresky; do
    printf ',%s' "$(hosts "$name")"
  done
  printf ']}\n'
} >"$dir/hosts.json"
start_standin hosts hosts --file "$dir/hosts.json"

step "start three entry hosts in two data centres"
names=(karlin-1 karlin-2 zabovresky-1)
centres=(karlin karlin zabovresky)
regions=(praha praha brno)
api=()
peers="[peers]"
peer_ports=()
for i in 0 1 2; do
  api+=("$(free_port)")
  peer_ports+=("$(free_port)")
  peers+=$'\n'"${names[i]} = ${centres[i]}, ${regions[i]}, 127.0.0.1:${peer_ports[i]}"
done
daemons=()
for i in 0 1 2; do
  cat >"$dir/${names[i]}.ini" <<INI
[host]
name = ${names[i]}
data_centre = ${centres[i]}
region = ${regions[i]}

[listen]
api = 127.0.0.1:${api[i]}
peer = 127.0.0.1:${peer_ports[i]}

[platform]
log = http://$(field log address)
hosts = http://$(field hosts address)
retention = 2 h

$peers
INI
  "$bin/jayforkd" --settings "$dir/${names[i]}.ini" --check
  "$bin/jayforkd" --settings "$dir/${names[i]}.ini" >"$dir/${names[i]}.out" 2>"$dir/${names[i]}.err" &
  pids+=($!)
  daemons+=($!)
done
for port in "${api[@]}"; do retry_until_ok is_serving "$port"; done

step "publish a contract"
cat >"$dir/contract.json" <<'JSON'
{
  "customer": "vltava",
  "data_centres": ["karlin", "zabovresky"],
  "quota": { "processors": 64000, "memory": 262144, "accelerators": 0 },
  "classes": [
    { "name": "proof", "urgency": "urgent", "service": "issue-assembly", "deadline": 2000 },
    { "name": "merge", "urgency": "deferrable", "at_most_once": true }
  ]
}
JSON
export JAYFORK_SERVERS=127.0.0.1:${api[0]}
jayfork() { "$bin/jayfork" "$@"; }
jayfork contract check "$dir/contract.json"
jayfork contract publish "$dir/contract.json"
for port in "${api[@]}"; do
  retry_until_ok "$bin/jayfork" --server "127.0.0.1:$port" contract show vltava
done

step "send a layout proof through each host and compare the answer"
head -c 200000 /dev/urandom | base64 >"$dir/proof.txt"
proofs=0
for port in "${api[@]}"; do
  retry_until_ok "$bin/jayfork" --server "127.0.0.1:$port" request send vltava proof \
    --body "$dir/proof.txt" --output "$dir/answer.txt"
  # The stand-in answers with one line about the request, followed by the body of the request.
  tail -n +2 "$dir/answer.txt" | cmp - "$dir/proof.txt"
  proofs=$((proofs + 1))
done

step "submit a mailing-list merge twice and check that it runs once"
jayfork job submit vltava merge club-2026-12 --processors 500 --memory 512 --run 1
jayfork job submit vltava merge club-2026-12 --processors 500 --memory 512 --run 1
is_done() { "$bin/jayfork" --json job status vltava club-2026-12 | grep -q '"succeeded"'; }
retry_until_ok is_done
jayfork job status vltava club-2026-12
starts=0
for dc in karlin zabovresky; do
  control=$(field "workers-$dc" control)
  count=$(http_get "${control##*:}" /control/records | awk '{ n += gsub(/"event":"started"/, "") } END { print n + 0 }')
  starts=$((starts + count))
done
[ "$starts" -eq 1 ]

step "show the status"
jayfork status

step "stop the entry hosts gracefully"
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do wait "$pid"; done
echo "quickstart ok: proofs $proofs, merges 1, duplicates $((starts - 1))"
