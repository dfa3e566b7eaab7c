# Functions for scripts that start processes on loopback; to be sourced after `set -euo pipefail`.
# Input: bin (folder of the programs). Output: work (scratch folder). On exit, all started processes are stopped by
# their ids and the scratch folder is removed.
work=$(mktemp -d)
pids=()

stop_all() {
  status=$?
  trap - EXIT
  if [ "$status" -ne 0 ]; then
    echo "failed; last lines of the logs:"
    tail -n 5 "$work"/*.log || true
  fi
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
  exit "$status"
}
trap stop_all EXIT

# start_process NAME PROGRAM ARGUMENTS...: starts a process and waits for its "listening" line.
start_process() {
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
  echo "$name did not start listening"
  return 1
}
port() { sed -n 's/^listening \([0-9]*\).*/\1/p' "$work/$1.out"; }
admin_port() { sed -n 's/.* admin \([0-9]*\).*/\1/p' "$work/$1.out"; }
join_by_comma() { local IFS=,; echo "$*"; }

# add_machine SITE NAME ROLE POOL ZONE REGION: adds a running process to the site's machine list.
add_machine() {
  printf '[[machines]]\nname = "%s"\nrole = "%s"\npool = "%s"\naddress = "127.0.0.1:%s"\nzone = "%s"\nregion = "%s"\n' \
    "$2" "$3" "$4" "$(port "$2")" "$5" "$6" >>"$work/$1.machines.toml"
}

# generate_keys: sets author and approver to new public keys; the private keys are in the scratch folder.
generate_keys() {
  author=$("$bin/crankspurctl" keygen --out="$work/author" | tail -n 1)
  approver=$("$bin/crankspurctl" keygen --out="$work/approver" | tail -n 1)
}

# start_router NAME ZONE REGION PLATFORM PEERS [ARGUMENTS...]
start_router() {
  start_process "$1" crankspur_router --name="$1" --zone="$2" --region="$3" --listen=127.0.0.1:0 --admin=127.0.0.1:0 \
    --platform="$4" --peers="$5" --author_keys="$author" --approver_keys="$approver" "${@:6}"
}

# start_sidecar NAME ZONE REGION PLATFORM ROUTERS [ARGUMENTS...]
start_sidecar() {
  start_process "$1" crankspur_sidecar --name="$1" --zone="$2" --region="$3" --listen=127.0.0.1:0 --admin=127.0.0.1:0 \
    --platform="$4" --routers="$5" --author_keys="$author" --approver_keys="$approver" "${@:6}"
}

# roll_bundle FILE PLATFORM ADMINS: checks, signs, approves and rolls out a bundle; waits until all routers have it.
roll_bundle() {
  local document
  document="$work/$(basename "$(dirname "$1")").$(basename "$1")"
  cp "$1" "$document"
  "$bin/crankspurctl" bundle check "$document"
  "$bin/crankspurctl" bundle sign "$document" --key="$work/author.key"
  "$bin/crankspurctl" bundle approve "$document" --key="$work/approver.key" --author_keys="$author"
  "$bin/crankspurctl" bundle roll "$document" --platform="$2" --author_keys="$author" --approver_keys="$approver" \
    --operator=demo
  "$bin/crankspurctl" bundle status --platform="$2" --routers="$3" --wait_s=20
}

# wait_healthy NAME: waits until the admin port of a router or sidecar reports that it is healthy.
wait_healthy() {
  for _ in $(seq 200); do
    [ "$(curl -s -o /dev/null -w '%{http_code}' "127.0.0.1:$(admin_port "$1")/healthz")" = 200 ] && return
    sleep 0.05
  done
  echo "$1 is not healthy"
  return 1
}
