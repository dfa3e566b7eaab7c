#!/usr/bin/env bash
# Starts two small sites on loopback (parts desk and Tallow Creek), rolls out a signed bundle at each, sends requests
# and prints the responses. All processes are stopped by their ids at the end.
# Usage: tools/demo/run_demo.sh [BUILD_FOLDER]; exit status 0 only if all steps succeeded and all responses were correct.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=${1:-build}/bin
source tools/processes.sh

# start_site NAME REGION RUNNER_POOL OPERATIONS MODELS LARGE_POOL ZONE ZONE ZONE
start_site() {
  local site=$1 region=$2 runner_pool=$3 operations=$4 models=$5 large_pool=$6
  shift 6
  local zone name platform routers=() admins=()
  for zone in "$@"; do
    for pool in general "$large_pool"; do
      name="engine-$zone-$pool"
      start_process "$name" standin_engine --name="$name" --models="$models"
      add_machine "$site" "$name" engine "$pool" "$zone" "$region"
    done
    name="runner-$zone"
    start_process "$name" standin_app_runner --name="$name" --operations="$operations"
    add_machine "$site" "$name" runner "$runner_pool" "$zone" "$region"
  done
  start_process "platform-$site" standin_platform --machines="$work/$site.machines.toml"
  platform="127.0.0.1:$(port "platform-$site")"
  for zone in "$@"; do
    start_router "router-$zone" "$zone" "$region" "$platform" "$(join_by_comma "${routers[@]}")"
    routers+=("127.0.0.1:$(port "router-$zone")")
    admins+=("127.0.0.1:$(admin_port "router-$zone")")
  done
  start_sidecar "sidecar-$site" "$1" "$region" "$platform" "$(join_by_comma "${routers[@]}")"
  roll_bundle "examples/$site/bundle.toml" "$platform" "$(join_by_comma "${admins[@]}")"
  wait_healthy "sidecar-$site"
}

generate_keys
echo "== parts desk: 3 zones, 6 engines, 3 runners, 3 routers, 1 sidecar"
start_site parts_desk northeast orders place_order,check_stock \
  "catalogue-chat:2026-05:part-codes,stock-pages;hull-review:2026-05:composite,timber" large recife natal fortaleza
echo "== Tallow Creek: 3 zones, 6 engines, 3 runners, 3 routers, 1 sidecar"
start_site tallow_creek county bookings book_site,hold_site,check_availability \
  "caller-answers:2026-04:park-policy;history-summary:2026-04" long pumphouse annex dam-office

echo "== requests"
python3 tools/demo/demo_requests.py --parts-desk="127.0.0.1:$(port sidecar-parts_desk)" \
  --runners="127.0.0.1:$(port runner-recife),127.0.0.1:$(port runner-natal),127.0.0.1:$(port runner-fortaleza)" \
  --tallow-creek="127.0.0.1:$(port sidecar-tallow_creek)" --id-file="$work/last_id"
echo "== what operators see of Tallow Creek, and why the last request ran where it did"
admins=()
for zone in pumphouse annex dam-office; do admins+=("127.0.0.1:$(admin_port "router-$zone")"); done
"$bin/crankspurctl" status --nodes="$(join_by_comma "${admins[@]}" "127.0.0.1:$(admin_port sidecar-tallow_creek)")"
"$bin/crankspurctl" explain "$(cat "$work/last_id")" --routers="$(join_by_comma "${admins[@]}")"
echo "== done: every answer was complete"
