#!/usr/bin/env bash
# Grows a fleet of 3 real routers and hollow ones on loopback, and measures what control costs each node.
# Usage: tools/scale/measure.sh BUILD_FOLDER OUTPUT_FOLDER [NODES...]; default 10 40 120 340.
# Writes OUTPUT_FOLDER/scale.csv and, where gnuplot is installed, scale.svg. Ends by itself. At most 24 hollow routers
# share a process (each holds a connection to most others, and a process may open 20,000 files), so 340 nodes are
# 3 + 15 processes beside 4 engines and the platform. A network namespace, where one can be made, keeps other traffic
# of the machine out of the byte counts.
set -euo pipefail
cd "$(dirname "$0")/../.."
if [ -z "${CRANKSPUR_SCALE_NAMESPACE:-}" ] && unshare -n true 2>/dev/null; then
  CRANKSPUR_SCALE_NAMESPACE=1 exec unshare -n bash "$0" "$@"
fi
[ -z "${CRANKSPUR_SCALE_NAMESPACE:-}" ] || ip link set lo up
bin=$1/bin
output=$2
shift 2
sizes=("$@")
[ ${#sizes[@]} -gt 0 ] || sizes=(10 40 120 340)
mkdir -p "$output"
source tools/processes.sh

hollow_per_process=24
real=3
engines=4
steady_s=20
limit_s=60

now_ms() { date +%s%3N; }
# ticks PID...: processor time of the processes, in clock ticks.
ticks() {
  local pid sum=0
  for pid in "$@"; do sum=$((sum + $(awk '{ print $14 + $15 }' "/proc/$pid/stat"))); done
  echo "$sum"
}
# control_ticks PID: processor time of the control thread of a router, which is the first thread.
control_ticks() { awk '{ print $14 + $15 }' "/proc/$1/task/$1/stat"; }
resident_kb() {
  local pid sum=0
  for pid in "$@"; do sum=$((sum + $(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status"))); done
  echo "$sum"
}
loopback_bytes() { awk '$1 == "lo:" { print $2 }' /proc/net/dev; }
# counts FIELD: sum over the hollow processes of the last line of counts.
counts() {
  for file in "$work"/hollow-*.out; do
    awk -v f="$1" '$2 == "counts" { v = $f } END { printf "%.0f\n", v }' "$file"
  done | awk '{ s += $1 } END { printf "%.0f\n", s }'
}

# seen CONDITION SINCE_MS: waits until the last "seen" line of every hollow process meets the awk condition, on
# fewest, most, bundle and live (engines), and prints the seconds from SINCE_MS to the latest of these lines.
seen() {
  local deadline=$(($(now_ms) + limit_s * 1000)) times
  while :; do
    times=$(for file in "$work"/hollow-*.out; do
      awk '$2 == "seen" { at = $1; fewest = $3; most = $4; bundle = $5; live = $6
             if ('"$1"') { if (!since) since = at } else since = 0 } END { printf "%.0f\n", since }' "$file"
    done | sort -n)
    if [ "$(head -n 1 <<<"$times")" != 0 ]; then
      awk -v latest="$(tail -n 1 <<<"$times")" -v since="$2" \
        'BEGIN { d = (latest - since) / 1000; printf "%.2f", (d > 0 ? d : 0) }'
      return
    fi
    [ "$(now_ms)" -lt "$deadline" ] || { printf 'over_%s' "$limit_s"; return; }
    sleep 0.2
  done
}

# sample: the counters of the moment: time, processor time of hollow and real processes and of the control thread of
# the first real one, bytes on loopback, bytes of frames that hollow nodes sent and received.
sample() {
  echo "$(now_ms) $(ticks "${hollow_pids[@]}") $(ticks "${real_pids[@]}") $(control_ticks "${real_pids[0]}")" \
    "$(loopback_bytes) $(counts 3) $(counts 4)"
}

# roll VERSION: signs, approves and rolls the bench bundle with that version.
roll() {
  local document=$work/bundle.$1.toml
  sed "s/^version = .*/version = $1/" tools/load/bench.bundle.toml >"$document"
  {
    "$bin/crankspurctl" bundle sign "$document" --key="$work/author.key"
    "$bin/crankspurctl" bundle approve "$document" --key="$work/approver.key" --author_keys="$author"
    "$bin/crankspurctl" bundle roll "$document" --platform="$platform" --author_keys="$author" \
      --approver_keys="$approver" --operator=scale
  } >"$work/roll.$1.log" 2>&1
}

# wait_log NAME TEXT: waits until the log of a real router has the text.
wait_log() {
  for _ in $(seq 600); do
    grep -q "$2" "$work/$1.log" && return
    sleep 0.1
  done
  echo "$1 never logged $2"
  return 1
}

stop_fleet() {
  local pid
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
  rm -f "$work"/*.out "$work"/*.log "$work"/*.toml
}

measure() {
  local nodes=$1 number count left begin platform_pid platform routers=() real_pids=() hollow_pids=()
  for number in $(seq "$engines"); do
    start "engine-$number" standin_engine --name="engine-$number" --models=bench-chat:w1
    machine scale "engine-$number" engine bench zone-0-0 region-0
  done
  start platform standin_platform --machines="$work/scale.machines.toml"
  platform_pid=${pids[-1]}
  platform="127.0.0.1:$(port platform)"
  for number in $(seq "$real"); do
    start_router "router-$number" "zone-$((number - 1))-0" "region-$((number - 1))" "$platform" "$(join "${routers[@]}")"
    real_pids+=("${pids[-1]}")
    routers+=("127.0.0.1:$(port "router-$number")")
  done
  begin=$(now_ms)
  left=$((nodes - real))
  number=$real
  while [ "$left" -gt 0 ]; do
    count=$((left < hollow_per_process ? left : hollow_per_process))
    start "hollow-$number" crankspur_hollow --nodes="$count" --first="$number" --platform="$platform" \
      --peers="$(join "${routers[@]}")" --author_keys="$author" --approver_keys="$approver"
    hollow_pids+=("${pids[-1]}")
    number=$((number + count))
    left=$((left - count))
  done
  local hollow=$((nodes - real))
  local join_s
  join_s=$(seen "fewest == $nodes && most == $nodes" "$begin")
  roll 1
  seen "bundle == 1" "$begin" >/dev/null
  sleep 5

  local t0 t1 cpu0 cpu1 real0 real1 control0 control1 lo0 lo1 sent0 sent1 received0 received1
  read -r t0 cpu0 real0 control0 lo0 sent0 received0 <<<"$(sample)"
  sleep "$steady_s"
  read -r t1 cpu1 real1 control1 lo1 sent1 received1 <<<"$(sample)"
  local hollow_kb real_kb connections
  hollow_kb=$(($(resident_kb "${hollow_pids[@]}") / hollow))
  real_kb=$(($(resident_kb "${real_pids[@]}") / real))
  connections=$(counts 5)

  begin=$(now_ms)
  roll 2
  local bundle_s
  bundle_s=$(seen "bundle >= 2" "$begin")
  for number in $(seq "$real"); do wait_log "router-$number" 'RouterBundleTaken.*version=2'; done
  begin=$(now_ms)
  curl -s -o /dev/null -d '{"action":"leave"}' "127.0.0.1:$(port engine-4)/control"
  local leaving_s
  leaving_s=$(seen "live == $((engines - 1))" "$begin")
  begin=$(now_ms)
  disown "${real_pids[2]}"
  kill -KILL "${real_pids[2]}"
  local death_s
  death_s=$(seen "fewest == $((nodes - 1)) && most == $((nodes - 1))" "$begin")
  begin=$(now_ms)
  roll 3
  for number in $(seq 200); do
    grep -qs 'RouterBundleTaken.*version=3' "$work"/router-1.log "$work"/router-2.log && break
    sleep 0.02
  done
  disown "$platform_pid"
  kill -KILL "$platform_pid"
  local down_s
  down_s=$(seen "bundle >= 3" "$begin")

  awk -v n="$nodes" -v h="$hollow" -v r="$real" -v ms=$((t1 - t0)) -v hz="$(getconf CLK_TCK)" -v cpu=$((cpu1 - cpu0)) \
    -v rcpu=$((real1 - real0)) -v ccpu=$((control1 - control0)) -v lo=$((lo1 - lo0)) -v sent=$((sent1 - sent0)) \
    -v received=$((received1 - received0)) -v hkb="$hollow_kb" -v rkb="$real_kb" -v connections="$connections" \
    -v rest="$join_s,$bundle_s,$down_s,$death_s,$leaving_s" 'BEGIN {
      s = ms / 1000
      printf "%d,%.3f,%.3f,%.3f,%d,%d,%.0f,%.0f,%.0f,%.0f,%s\n", n, cpu / hz / s / h * 100, ccpu / hz / s * 100,
        rcpu / hz / s / r * 100, hkb, rkb, sent / s / h, received / s / h, lo / s / n, connections / h, rest }' \
    | tee -a "$output/scale.csv"
  stop_fleet
}

make_keys
echo "nodes,hollow_processor_percent,real_control_thread_percent,real_process_percent,hollow_kb,real_kb,frame_bytes_sent_s,frame_bytes_received_s,loopback_bytes_s,connections,join_s,bundle_s,bundle_platform_down_s,death_known_s,leaving_engine_s" \
  | tee "$output/scale.csv"
for nodes in "${sizes[@]}"; do measure "$nodes"; done
if command -v gnuplot >/dev/null; then
  gnuplot -e "set terminal svg size 900,600; set output '$output/scale.svg'; set datafile separator ','; \
    set logscale xy; set key left top; set xlabel 'nodes'; set ylabel 'seconds; percent of a core; KB/s'; \
    plot for [c in '2 11 12 13 14 15'] '$output/scale.csv' using 1:int(c) with linespoints title columnheader(int(c)), \
    '' using 1:(\$9/1000) with linespoints title 'loopback KB/s'"
fi
