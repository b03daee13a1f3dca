#!/usr/bin/env bash
# Installs, builds, then runs the whole path as separate processes: a platform stand-in, two engine
# stand-ins, one VM. Sets the settings, sends one request, prints its answer, and stops all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "${TRY_INSTALL:-yes}" = yes ]; then
    scripts/install-packages.sh
fi
scripts/build.sh build >/dev/null
bin=build
pids=()
stop() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait || true
}
trap stop EXIT

port=${TRY_PORT:-18500}
platform=127.0.0.1:$port
engine_a=127.0.0.1:$((port + 1))
engine_b=127.0.0.1:$((port + 2))
callers=127.0.0.1:$((port + 3))
admin=127.0.0.1:$((port + 4))
peer=127.0.0.1:$((port + 5))

"$bin/standins/fuchsialoom_standin" platform "$platform" &
pids+=($!)
"$bin/standins/fuchsialoom_standin" engine "$engine_a" models=lugha-7b &
pids+=($!)
"$bin/standins/fuchsialoom_standin" engine "$engine_b" models=lugha-7b &
pids+=($!)
wait_for() {
    for _ in $(seq 100); do
        if curl -fs --max-time 5 -o /dev/null "$1"; then
            return 0
        fi
        sleep 0.1
    done
    echo "no answer from $1" >&2
    return 1
}
wait_for "http://$platform/vms"
wait_for "http://$engine_a/load"
wait_for "http://$engine_b/load"

engine() {
    printf '{"id":"%s","kind":"engine","domain":"local","pool":"lugha-pool","address":"%s","memory_bytes":80000000000,"accelerators":8,"services":[],"state":"live"}' "$1" "$2"
}
curl -fs --max-time 5 -o /dev/null -X PUT "http://$platform/vms" --data "{\"vms\":[],\"targets\":[$(engine e1 "$engine_a"),$(engine e2 "$engine_b")]}"

"$bin/tools/fuchsialoomd" --vm vm-a --domain local --listen "$callers" --admin "$admin" --peer "$peer" --log "$platform" --log-level quiet &
pids+=($!)
wait_for "http://$admin/readyz"

"$bin/tools/fuchsialoomctl" --admin "$admin" set brand/mgao/service/voucher/model/lugha-7b in-service=true
sleep 1
echo 'the answer, as it streams:'
curl -fsN --max-time 30 "http://$callers/v1/chat/completions" -H 'X-Brand: mgao' -H 'X-Service: voucher' -H 'X-Request-Id: try-1' \
    --data '{"model":"lugha-7b","stream":true,"messages":[{"role":"user","content":"When is my dividend paid?"}]}'
echo 'why it went where it went:'
"$bin/tools/fuchsialoomctl" --admin "$admin" explain try-1
