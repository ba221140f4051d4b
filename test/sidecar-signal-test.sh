#!/usr/bin/env bash
# Guards against a SIGHUP during the start that ends the process $1. The settings are a FIFO: when
# it can be written to, the process runs and waits for them.
set -euo pipefail
sidecar=$1
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkfifo "$work/settings"
"$sidecar" --config "$work/settings" --check-config &
process=$!
exec 3>"$work/settings"
kill -HUP "$process"
cat >&3 <<'SETTINGS'
node: sidecar-1
failure_domain: a
service: rounds
host_address: 127.0.0.1
ports: [7380]
upstream_address: "127.0.0.1:8145"
caller_address: "127.0.0.1:8147"
call_address: "127.0.0.1:8146"
ready_address: "127.0.0.1:8141"
heartbeat_address: "127.0.0.1:8144"
store_address: "127.0.0.1:8142"
SETTINGS
exec 3>&-
wait "$process"
