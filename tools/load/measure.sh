#!/usr/bin/env bash
# Starts a benchmark site with one zone on loopback and runs crankspur_load against it.
# Usage: tools/load/measure.sh BUILD_FOLDER added_time|load ENGINES ROUTERS SIDECARS [flags of crankspur_load...]
# Engines respond immediately (no prefill time, short decode steps), so that routing dominates the latency.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=$1/bin
mode=$2
engines=$3
routers=$4
sidecars=$5
shift 5
source tools/processes.sh

for number in $(seq "$engines"); do
  start_process "engine-$number" standin_engine --name="engine-$number" --models=bench-chat:w1 \
    --prefill_tokens_per_second=100000000 --prefill_chunk_tokens=100000 --prefill_chunk_base_ms=0 \
    --decode_step_ms=1 --decode_step_per_request_ms=0 --decode_slowdown_while_prefilling=1 \
    --batch_limit=64 --cache_blocks=1000000 --queue_tokens=100000000 --queue_requests=100000
  add_machine bench "engine-$number" engine bench z1 r1
done
start_process platform standin_platform --machines="$work/bench.machines.toml"
platform="127.0.0.1:$(port platform)"
generate_keys
router_addresses=()
admins=()
for number in $(seq "$routers"); do
  start_router "router-$number" z1 r1 "$platform" "$(join_by_comma "${router_addresses[@]}")"
  router_addresses+=("127.0.0.1:$(port "router-$number")")
  admins+=("127.0.0.1:$(admin_port "router-$number")")
done
sidecar_addresses=()
for number in $(seq "$sidecars"); do
  start_sidecar "sidecar-$number" z1 r1 "$platform" "$(join_by_comma "${router_addresses[@]}")"
  sidecar_addresses+=("127.0.0.1:$(port "sidecar-$number")")
done
roll_bundle tools/load/bench.bundle.toml "$platform" "$(join_by_comma "${admins[@]}")"
for number in $(seq "$sidecars"); do wait_healthy "sidecar-$number"; done

arguments=(--sidecars="$(join_by_comma "${sidecar_addresses[@]}")" --bundle=tools/load/bench.bundle.toml "$@")
if [ "$mode" = added_time ]; then
  [ "$engines" -eq 1 ] || { echo "added_time needs exactly one engine"; exit 2; }
  arguments+=(--added_time="127.0.0.1:$(port engine-1)")
fi
status=0
"$bin/crankspur_load" "${arguments[@]}" || status=$?
ticks=$(getconf CLK_TCK)
for pid in "${pids[@]}"; do
  awk -v ticks="$ticks" '{ printf "cpu %-20s %6.2f s\n", $2, ($14 + $15) / ticks }' "/proc/$pid/stat"
done
exit "$status"
