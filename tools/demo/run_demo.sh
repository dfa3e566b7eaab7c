#!/usr/bin/env bash
# Starts two small sites on loopback (parts desk and Tallow Creek), rolls a first signed bundle at each, sends real
# requests and prints what callers got. Every process is stopped by its id at the end.
# Usage: tools/demo/run_demo.sh [BUILD_FOLDER]; exit status 0 only if every step and every answer was right.
set -euo pipefail
cd "$(dirname "$0")/../.."
bin=${1:-build}/bin
work=$(mktemp -d)
pids=()

stop_all() {
  status=$?
  trap - EXIT
  if [ "$status" -ne 0 ]; then
    echo "demo failed; last lines of the logs:"
    tail -n 5 "$work"/*.log
  fi
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
  exit "$status"
}
trap stop_all EXIT

# start NAME PROGRAM ARGUMENTS...: starts a process and waits until it prints that it listens.
start() {
  local name=$1
  shift
  : >"$work/$name.out"
  "$bin/$1" "${@:2}" >"$work/$name.out" 2>"$work/$name.log" &
  pids+=($!)
  for _ in $(seq 200); do
    grep -q '^listening ' "$work/$name.out" && return
    kill -0 "$!" 2>/dev/null || break
    sleep 0.05
  done
  echo "$name does not listen"
  return 1
}
port() { sed -n 's/^listening \([0-9]*\).*/\1/p' "$work/$1.out"; }
admin_port() { sed -n 's/.* admin \([0-9]*\).*/\1/p' "$work/$1.out"; }

# machine SITE NAME ROLE POOL ZONE REGION: adds a started process to the site's machine list.
machine() {
  printf '[[machines]]\nname = "%s"\nrole = "%s"\npool = "%s"\naddress = "127.0.0.1:%s"\nzone = "%s"\nregion = "%s"\n' \
    "$2" "$3" "$4" "$(port "$2")" "$5" "$6" >>"$work/$1.machines.toml"
}

# site NAME REGION RUNNER_POOL OPERATIONS MODELS LARGE_POOL ZONE ZONE ZONE
site() {
  local site=$1 region=$2 runner_pool=$3 operations=$4 models=$5 large_pool=$6
  shift 6
  local zone name platform routers=() admins=()
  for zone in "$@"; do
    for pool in general "$large_pool"; do
      name="engine-$zone-$pool"
      start "$name" standin_engine --name="$name" --models="$models"
      machine "$site" "$name" engine "$pool" "$zone" "$region"
    done
    name="runner-$zone"
    start "$name" standin_app_runner --name="$name" --operations="$operations"
    machine "$site" "$name" runner "$runner_pool" "$zone" "$region"
  done
  start "platform-$site" standin_platform --machines="$work/$site.machines.toml"
  platform="127.0.0.1:$(port "platform-$site")"
  for zone in "$@"; do
    name="router-$zone"
    start "$name" crankspur_router --name="$name" --zone="$zone" --region="$region" --listen=127.0.0.1:0 \
      --admin=127.0.0.1:0 --platform="$platform" --author_keys="$author" --approver_keys="$approver" \
      --peers="$(IFS=,; echo "${routers[*]}")"
    routers+=("127.0.0.1:$(port "$name")")
    admins+=("127.0.0.1:$(admin_port "$name")")
  done
  start "sidecar-$site" crankspur_sidecar --name="sidecar-$site" --zone="$1" --region="$region" \
    --listen=127.0.0.1:0 --admin=127.0.0.1:0 --routers="$(IFS=,; echo "${routers[*]}")" --platform="$platform" \
    --author_keys="$author" --approver_keys="$approver"

  local document="$work/$site.bundle.toml"
  cp "examples/$site/bundle.toml" "$document"
  "$bin/crankspurctl" bundle check "$document"
  "$bin/crankspurctl" bundle sign "$document" --key="$work/author.key"
  "$bin/crankspurctl" bundle approve "$document" --key="$work/approver.key" --author_keys="$author"
  "$bin/crankspurctl" bundle roll "$document" --platform="$platform" --author_keys="$author" \
    --approver_keys="$approver" --operator=demo
  "$bin/crankspurctl" bundle status --platform="$platform" --routers="$(IFS=,; echo "${admins[*]}")" --wait_s=20
  for _ in $(seq 200); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "127.0.0.1:$(admin_port "sidecar-$site")/healthz")" = 200 ] && return
    sleep 0.05
  done
  echo "sidecar-$site is not healthy"
  return 1
}

author=$("$bin/crankspurctl" keygen --out="$work/author" | tail -n 1 | awk '{print $NF}')
approver=$("$bin/crankspurctl" keygen --out="$work/approver" | tail -n 1 | awk '{print $NF}')

echo "== parts desk: 3 zones, 6 engines, 3 runners, 3 routers, 1 sidecar"
site parts_desk northeast orders place_order,check_stock \
  "catalogue-chat:2026-05:part-codes,stock-pages;hull-review:2026-05:composite,timber" large recife natal fortaleza
echo "== Tallow Creek: 3 zones, 6 engines, 3 runners, 3 routers, 1 sidecar"
site tallow_creek county bookings book_site,hold_site,check_availability \
  "caller-answers:2026-04:park-policy;history-summary:2026-04" long pumphouse annex dam-office

echo "== requests"
python3 tools/demo/demo_requests.py --parts-desk="127.0.0.1:$(port sidecar-parts_desk)" \
  --runners="127.0.0.1:$(port runner-recife),127.0.0.1:$(port runner-natal),127.0.0.1:$(port runner-fortaleza)" \
  --tallow-creek="127.0.0.1:$(port sidecar-tallow_creek)"
echo "== done: every answer was complete"
