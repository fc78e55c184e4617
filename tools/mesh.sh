#!/bin/bash
# Starts a mesh of daemons and backend stand-ins on loopback addresses.
#
#   mesh.sh start EXAMPLE DIR   starts the mesh of EXAMPLE, with logs in DIR
#   mesh.sh stop DIR            stops the mesh that was started with DIR
#
# An example is a directory with a file mesh.conf, one instance per line:
#   <instance> <region> <data centre> <service> <capacity>
set -euo pipefail

Root=$(cd "$(dirname "$0")/.." && pwd)
Bin=${HEMLOCKSPAR_BIN:-$Root/build}
Table=127.0.0.1:7000

start_process() { # pid file, log file, command ...
  local PidFile=$1 LogFile=$2
  shift 2
  "$@" >>"$LogFile" 2>&1 &
  echo $! >"$PidFile"
}

write_settings() { # file, instance, region, data centre, host
  cat >"$1" <<YAML
instance: $2
region: $3
data_center: $4
listen:
  host: $5
  caller_port: 8080
  forward_port: 8081
  control_port: 8082
  api_port: 8083
table:
  address: $Table
YAML
}

start() {
  local Example=$1 Dir=$2 Number=0
  mkdir -p "$Dir"
  start_process "$Dir/table.pid" "$Dir/table.log" \
    "$Bin/stand_ins/table_stand_in" --listen "$Table"
  sleep 0.3

  while read -r Instance Region DataCenter Service Capacity; do
    case "$Instance" in '' | \#*) continue ;; esac
    Number=$((Number + 1))
    local Host=127.0.1.$Number
    write_settings "$Dir/$Instance.yaml" "$Instance" "$Region" "$DataCenter" \
      "$Host"
    start_process "$Dir/$Instance.pid" "$Dir/$Instance.log" \
      "$Bin/daemon/hemlockspard" --settings "$Dir/$Instance.yaml"
    start_process "$Dir/$Instance.backend.pid" "$Dir/$Instance.backend.log" \
      "$Bin/stand_ins/backend_stand_in" --name "$Instance" \
      --service "$Service" --capacity "$Capacity" \
      --listen "$Host:8090" --daemon "$Host:8083" \
      --record "$Dir/$Instance.runs"
    echo "$Instance $Host" >>"$Dir/hosts"
  done <"$Example/mesh.conf"
}

stop() {
  local Dir=$1 PidFile
  for PidFile in "$Dir"/*.pid; do
    [ -e "$PidFile" ] || continue
    kill -9 "$(cat "$PidFile")" 2>/dev/null || true
  done
}

case "${1:-}" in
start) start "$2" "$3" ;;
stop) stop "$2" ;;
*) sed -n '2,9p' "$0" && exit 2 ;;
esac
