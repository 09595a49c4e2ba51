#!/usr/bin/env bash
# Starts the deployment of this directory and stops it with the script.
set -euo pipefail
cd "$(dirname "$0")"
bin=${BIN:-../../target/release}

trap 'kill $(jobs -p) 2>/dev/null; wait' EXIT

"$bin/cedargauge-standin" platform --listen 127.0.0.1:7000 --table table.json &
for port in 7100 7101 7102 7103 7104 7105; do
    "$bin/cedargauge-standin" engine --listen "127.0.0.1:$port" --model inspection@1 --seed "$port" &
done
for port in 7200 7201 7202; do
    "$bin/cedargauge-standin" service --listen "127.0.0.1:$port" &
done
until curl -sf -X POST -H 'Content-Type: application/json' -d @hosts.json \
    http://127.0.0.1:7000/admin/hosts; do
    sleep 0.1
done
for settings in entry-*.json; do
    "$bin/cedargauge-entry" --settings "$settings" --log-level warn &
done
"$bin/cedargauge-admin" --settings admin.json --log-level warn &
wait
