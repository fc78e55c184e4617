#!/bin/bash
# Demonstrates failover in a small mesh: starts an example, declares its key
# spaces, prints the owners of the slots, sends requests, kills an owner and
# waits until its keys are served again.
#   demo.sh EXAMPLE
set -euo pipefail

Root=$(cd "$(dirname "$0")/.." && pwd)
Example=${1:-$Root/examples/derwent-mist}
Bin=${HEMLOCKSPAR_BIN:-$Root/build}
Dir=$(mktemp -d)
Ctl="$Bin/ctl/hemlocksparctl --api 127.0.1.1:8083"
trap '"$Root/tools/mesh.sh" stop "$Dir"; rm -rf "$Dir"' EXIT

wait_for() { # what, command ...
  local What=$1
  shift
  for _ in $(seq 150); do
    if "$@" >/dev/null 2>&1; then
      return
    fi
    sleep 0.1
  done
  echo "timed out waiting for $What" >&2
  exit 1
}

all_owned() {
  $Ctl get ownership --output json |
    python3 -c 'import json,sys; d=json.load(sys.stdin)["items"]
sys.exit(not d or any(i["unowned"] for i in d))'
}

echo "== starting $(basename "$Example")"
"$Root/tools/mesh.sh" start "$Example" "$Dir"
wait_for "the first daemon" curl -fs 127.0.1.1:8083/readyz

echo "== declaring services, key spaces and policies"
$Ctl apply "$Example/declarations.yaml"
wait_for "owners of all slots" all_owned

echo "== instances, slot ownership and table version in force"
$Ctl get instances
$Ctl get ownership
$Ctl get in-force

Keyspace=$(awk '$1 ~ /^[a-z]/ {print $4; exit}' "$Example/mesh.conf")
Key=spring-package
echo "== a request through the first daemon"
curl -si "127.0.1.1:8080/$Keyspace/$Key" | grep -iE 'HTTP/|hemlockspar|count'
$Ctl explain "$Keyspace" "$Key"

Owner=$($Ctl explain "$Keyspace" "$Key" --output json |
  python3 -c 'import json,sys; print(json.load(sys.stdin)["owner"])')
Asked=127.0.1.1
[ "$Owner" = "$(awk 'NR==1 {print $1}' "$Dir/hosts")" ] && Asked=127.0.1.2
echo "== killing the daemon and the backend server of $Owner"
kill -9 "$(cat "$Dir/$Owner.pid")" "$(cat "$Dir/$Owner.backend.pid")"
Began=$(date +%s%N)
curl -sf --retry 20 --retry-all-errors "$Asked:8080/$Keyspace/$Key"
echo "served again after $((($(date +%s%N) - Began) / 1000000)) ms"
$Ctl --api $Asked:8083 explain "$Keyspace" "$Key"
