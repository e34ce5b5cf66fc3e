#!/usr/bin/env bash
# Runs a configuration as separate processes on 127.0.0.1: a platform stand-in,
# backend stand-ins and seven entry instances. Ctrl-C or SIGTERM ends them.
#
# Usage: scripts/run-processes.sh CONFIG
#
# Needs go, curl and jq. Environment:
#   BASE_PORT  first port, default 7000. The platform stand-in listens on it and the
#              control API of the backend stand-in on the next one. Instance i has
#              BASE_PORT+100+i for callers, +200+i for operators, +300+i for peers.
#   KEEP       1 keeps the directory with settings and logs after the end.
set -euo pipefail

readonly instances=7
readonly base=${BASE_PORT:-7000}
readonly host=127.0.0.1
# An instance that drains waits for uploads in progress for up to this time.
readonly drain=20s
# Attempts, 0.1 s apart, for a process to answer after its start.
readonly start_attempts=100

fail() {
  echo "run-processes: $*" >&2
  exit 1
}

[ $# -eq 1 ] || fail "usage: scripts/run-processes.sh CONFIG"
[ -f "$1" ] || fail "$1 is not a file"
for tool in go curl jq; do
  command -v "$tool" >/dev/null || fail "$tool is not installed"
done
config=$(cd "$(dirname "$1")" && pwd)/$(basename "$1")
cd "$(dirname "$0")/.."

# Each process gets its own process group, so that Ctrl-C reaches this script only
# and the entry instances drain before the stand-ins end.
set -m
umask 077
dir=$(mktemp -d)
standins=()
entries=()
keep=${KEEP:-0}

# end stops the processes with the given ids and waits for them.
end() {
  local id
  for id in "$@"; do
    kill -TERM "$id" 2>/dev/null || true
  done
  for id in "$@"; do
    wait "$id" 2>/dev/null || true
  done
}

finish() {
  trap - EXIT
  trap '' INT TERM
  end ${entries[@]+"${entries[@]}"}
  end ${standins[@]+"${standins[@]}"}
  if [ "$keep" = 1 ]; then
    echo "stopped; settings and logs are in $dir"
  else
    rm -r "$dir"
    echo "stopped"
  fi
}
trap finish EXIT
trap 'exit 0' INT TERM

# wait_for URL LOG waits until a GET succeeds.
wait_for() {
  local i
  for ((i = 0; i < start_attempts; i++)); do
    if curl -sf -o "$dir/answer" "$1"; then
      return
    fi
    sleep 0.1
  done
  tail -n 3 "$2" >&2
  fail "$1 does not answer"
}

caller() { echo "$host:$((base + 100 + $1))"; }
operator() { echo "$host:$((base + 200 + $1))"; }
peer() { echo "$host:$((base + 300 + $1))"; }

echo "building"
go build -o "$dir/bin/" ./cmd/...
export PATH="$dir/bin:$PATH"
jacinthrack config validate "$config" >"$dir/validate" || fail "$config is not valid"

platform=$host:$base
control=$host:$((base + 1))
addresses="$platform $control $(jq -r '.backend_servers[].address' "$config")"
for ((i = 0; i < instances; i++)); do
  addresses+=" $(caller $i) $(operator $i) $(peer $i)"
done
for address in $addresses; do
  if (exec 3<>"/dev/tcp/${address%:*}/${address##*:}") 2>/dev/null; then
    fail "$address is in use; BASE_PORT sets other ports, those of the backend servers are in $config"
  fi
done

# The logs of a start that fails are kept.
keep=1
platform-standin --address "$platform" >"$dir/platform.log" 2>&1 &
standins+=($!)

jq -n --arg config "$config" --arg control "$control" '{
  config: $config, control_address: $control, service_time: "5ms", jitter: 0.2,
  connect_time: "1ms", probe_time: "6ms", seed: 1}' >"$dir/backends.json"
backend-standin "$dir/backends.json" >"$dir/backends.log" 2>&1 &
standins+=($!)

wait_for "http://$platform/v1/instances" "$dir/platform.log"
wait_for "http://$control/servers" "$dir/backends.log"

# The instances are spread over the availability zones of the configuration in turn.
zone() { jq -r --argjson i "$1" '.zones[$i % (.zones | length)].name' "$config"; }
list=$(for ((i = 0; i < instances; i++)); do
  jq -n --arg name "entry-$i" --arg zone "$(zone $i)" '{name: $name, zone: $zone, state: "live"}'
done | jq -s .)
curl -sf -X PUT --data "$list" "http://$platform/standin/instances"

token=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
for ((i = 0; i < instances; i++)); do
  jq -n --arg name "entry-$i" --arg zone "$(zone $i)" --arg token "$token" \
    --arg caller "$(caller $i)" --arg operator "$(operator $i)" --arg peer "$(peer $i)" \
    --arg platform "http://$platform" --arg seed "$(peer $(((i + 1) % instances)))" '{
    name: $name, zone: $zone, caller_address: $caller, operator_address: $operator,
    peer_address: $peer, platform: $platform, seeds: [$seed], insecure_peers: true,
    operator_token: $token}' >"$dir/entry-$i.json"
  jacinthrackd --drain-timeout "$drain" "$dir/entry-$i.json" >"$dir/entry-$i.log" 2>&1 &
  entries+=($!)
  echo $! >"$dir/entry-$i.pid"
done
for ((i = 0; i < instances; i++)); do
  wait_for "http://$(operator $i)/livez" "$dir/entry-$i.log"
done

cat >"$dir/env" <<END
export JACINTHRACK_SERVER=http://$(operator 0)
export JACINTHRACK_TOKEN=$token
export PATH=$dir/bin:\$PATH
END
. "$dir/env"
jacinthrack config publish "$config" || fail "the configuration was not published"

echo
for ((i = 0; i < instances; i++)); do
  echo "entry-$i  $(zone $i)  callers http://$(caller $i)  operators http://$(operator $i)  process $(cat "$dir/entry-$i.pid")"
done
echo "platform stand-in  http://$platform"
echo "backend stand-ins  http://$control/servers"
echo "settings and logs  $dir"
echo
echo "In another terminal:  . $dir/env && jacinthrack status"
echo "To stop: Ctrl-C here, or kill -TERM $$"
keep=${KEEP:-0}
wait
