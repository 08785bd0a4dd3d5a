# Sourced by the run.sh of each case: starts a store, runners and gateways on
# loopback and ends what it started. Sets work, key, host and the arrays
# front, ready and gateway_pid.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
bin=$root/target/review-2
# As deploy/system.toml has it; it runs in the root of the repository.
gateway_program=target/platform/bluebellkeel-gateway
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt
trouble=${TROUBLE:-1}
host=desk.example
key=key-of-mill
work=$(mktemp -d)
pids=()
declare -a front ready directory gateway_pid gateway_settings

cannot_run() { echo "cannot run: $*" | tee -a "$record"; exit 2; }

finish() {
  local code=$?
  trap - EXIT
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$work"
  exit "$code"
}
trap finish EXIT
trap 'exit 2' INT TERM

cd "$root" || exit 2
for program in "$gateway_program" "$bin/ports" "$bin/store" "$bin/runner"; do
  [ -x "$program" ] || { echo "not built: $program"; exit 2; }
done
: >"$record"
mapfile -t ports < <("$bin/ports" 40)

# start NAME COMMAND...: runs a program in the background; its id is in $last.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  last=$!
  pids+=("$last")
}

# request METHOD PORT TARGET [BODY]: prints the status.
request() {
  local reply=
  exec 9<>"/dev/tcp/127.0.0.1/$2" || return 1
  printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %s\r\n\r\n%s' \
    "$1" "$3" "${#4}" "$4" >&9
  read -r -t 3 reply <&9
  exec 9<&- 9>&-
  reply=${reply#* }
  echo "${reply%% *}"
}
put() { [ "$(request POST "$store" "/put?topic=$1&key=$2" "$3")" = 200 ]; }

start_store() {
  store=${ports[0]}
  start store "$bin/store" --port="$store"
  for _ in $(seq 50); do
    [ "$(request GET "$store" "/bluebellkeel/log-newest?topic=none&part=0" 2>/dev/null)" = 404 ] && return
    sleep 0.1
  done
  cannot_run "the store does not answer"
}

# start_runner NUMBER PROGRAM OPTION...: starts a runner and registers it.
start_runner() {
  local number=$1 program=$2 port=${ports[$1]}
  shift 2
  start "runner$number" "$program" --port="$port" --id="i-$number" \
    --record="$record" "$@"
  runner_pid[$number]=$last
  register "$number" 1
}
register() { # register NUMBER SEQ [STATE]
  put keyed.servers "i-$1" '{"service":"desk","address":"127.0.0.1:'"${ports[$1]}"'","zone":"north","version":"v1","slots":64,"state":"'"${3:-ready}"'","cold_left_ms":0,"seq":'"$2"'}' ||
    cannot_run "a runner cannot register"
}

# The settings that deploy/settings.json.in makes of those of a small machine.
start_gateway() { # start_gateway NUMBER
  local base=$((5 + 6 * $1))
  front[$1]=${ports[$base]}
  ready[$1]=${ports[$((base + 1))]}
  directory[$1]=${ports[$((base + 2))]}
  gateway_settings[$1]=$work/gateway$1.json
  cat >"$work/gateway$1.json" <<END
{
  "instance": "edge-north-$1",
  "data_centre": "north",
  "log": "127.0.0.1:$store",
  "listen": {
    "callers": "127.0.0.1:${ports[$base]}",
    "ready": "127.0.0.1:${ports[$((base + 1))]}",
    "directory": "127.0.0.1:${ports[$((base + 2))]}",
    "peers": "127.0.0.1:${ports[$((base + 3))]}",
    "metrics": "127.0.0.1:${ports[$((base + 4))]}"
  },
  "peers": {
    "seeds": ["127.0.0.1:${ports[14]}"],
    "key": "gateway-peers-127.0.0.1:$store"
  },
  "rules": {
    "retry_ratio": 0.9,
    "retry_slack": 56,
    "retry_window_s": 10,
    "trial_share": 0.15,
    "grace_s": 8,
    "settings_apply_ms": 2000,
    "upstreams_apply_ms": 2000,
    "upstreams_renew_ms": 1200,
    "advice_life_s": 5
  },
  "memory_mb": ${memory_mb:-260},
  "log_level": "info"
}
END
  restart_gateway "$1"
}
restart_gateway() {
  start "gateway$1" env BLUEBELLKEEL_CONFIG="${gateway_settings[$1]}" \
    "$gateway_program"
  gateway_pid[$1]=$last
}
await_ready() { # await_ready NUMBER...
  local number
  for number in "$@"; do
    for _ in $(seq 100); do
      [ "$(request GET "${ready[$number]}" /bluebellkeel/readyz 2>/dev/null)" = 200 ] && continue 2
      sleep 0.1
    done
    cannot_run "gateway $number is not ready"
  done
}
alive() { kill -0 "${gateway_pid[$1]}" 2>/dev/null; }

# One route a kind of request, as the operator of a small deployment writes it.
route() { # route NAME KIND ATTEMPTS TIMEOUT_MS
  echo '{"name":"'"$1"'","host":"'$host'","path_prefix":"/'"$1"'/","kind":"'"$2"'","attempts":'"$3"',"timeout_ms":'"$4"',"slo_ms":1000,"gap_slo_ms":1000,"priority":1,"resumable":true,"service":"desk"}'
}
configure() { # configure VERSION ROUTES
  put keyed.op config '{"version":'"$1"',"routes":['"$2"'],"services":[{"name":"desk","health_path":"/healthz","cold_start_s":0,"cold_per_s":0}],"tenants":[{"name":"mill","api_keys":["'$key'"]}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}}' ||
    cannot_run "the configuration cannot be written"
}
