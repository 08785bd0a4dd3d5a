# Shared functions of utils/demo, utils/demo-platform and utils/measure: they
# start a deployment on loopback and send requests to it. Sourcing this file
# starts nothing.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/build}
log=127.0.0.1:7001
list=127.0.0.1:7002
rater=127.0.0.1:7003
work=$(mktemp -d)
pids=()
declare -A instance_pid
instances=""
service_ports=()

choose_deployment() { # harrow|beaulac
  deployment=$1
  if [ "$deployment" = harrow ]; then
    centres=(mill-a mill-a mill-b mill-b canal-st canal-st dracut dracut)
    team=catalog model=lace-scribe service=order-desk operation=place
    accounts=(cobbler bootmaker)
  else
    centres=(bat-a bat-a bat-a bat-b bat-b bat-b entrepot entrepot entrepot)
    team=bundles model=plieuse service=quai operation=book
    accounts=(hopital-nord hopital-sud)
  fi
  key="${accounts[0]}-demo-key-0123456789"
}

finish() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${DEMO_KEEP:-}" != 1 ]; then rm -rf "$work"; fi
}

step() { echo; echo "== $*"; }
held() { echo "   held: $*"; }
fail() {
  echo "   FAILED: $*"
  for file in "$work"/*.log; do
    [ -s "$file" ] && { echo "-- $file"; tail -n 5 "$file"; }
  done
  exit 1
}

# start NAME COMMAND...: starts a background process; its output goes to
# $work/NAME.log.
start() {
  local name=$1; shift
  "$@" >"$work/$name.log" 2>&1 &
  last_pid=$!
  pids+=("$last_pid")
}

http() { # http METHOD ADDRESS PATH [BODY]
  local host=${2%:*} port=${2#*:} body=${4:-}
  exec 3<>"/dev/tcp/$host/$port" || return 1
  printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "${#body}" "$body" >&3
  cat <&3
  exec 3<&-
}
answers() { http GET "$1" "$2" 2>/dev/null | head -1 | grep -q ' 200 '; }
switch() { http POST "$1" /switch "$2" >/dev/null; }
listed() { http POST $list /instances "$1" >/dev/null; }

# until_true SECONDS COMMAND...: waits until the command succeeds; fails after
# SECONDS.
until_true() {
  local end=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $end ] || return 1
    sleep 0.1
  done
}

start_standins() {
  local standin=$build/utils/bluebellkeel-standin port=7300 index centre
  start log "$standin" log --listen=$log
  start list "$standin" list --listen=$list
  start rater "$standin" rater --listen=$rater
  until_true 10 answers $log "/streams/settings?from=1" || fail "log"
  until_true 10 answers $list /instances || fail "list"
  for index in $(seq 0 9); do
    port=$((port + 1))
    local version="$model@$((index % 2 + 1))" quality=0.85
    [ $((index % 2)) = 1 ] && quality=1.0
    start "engine-$index" "$standin" engine --listen=127.0.0.1:$port \
      --version="$version" --cold=2 --warm=8 --tokens=64000 --quality=$quality
    centre=${centres[$((index % ${#centres[@]}))]}
    until_true 10 answers 127.0.0.1:$port /load || fail "engine $index"
    listed "{\"kind\":\"engine\",\"id\":\"$model-$index\",\"data_centre\":\"$centre\",\"address\":\"127.0.0.1:$port\",\"pool\":\"$version\",\"state\":\"live\",\"warm\":{\"requests\":8,\"tokens\":64000},\"cold\":{\"requests\":2,\"tokens\":16000}}"
  done
  for index in $(seq 0 3); do
    port=$((port + 1))
    service_ports+=("$port")
    start "service-$index" "$standin" service --listen=127.0.0.1:$port
    centre=${centres[$((index * 2 % ${#centres[@]}))]}
    until_true 10 answers 127.0.0.1:$port /load || fail "service $index"
    listed "{\"kind\":\"service\",\"id\":\"$service-$index\",\"data_centre\":\"$centre\",\"address\":\"127.0.0.1:$port\",\"pool\":\"$service\",\"state\":\"live\",\"warm\":{\"requests\":16,\"tokens\":0},\"cold\":{\"requests\":16,\"tokens\":0}}"
  done
}

start_instances() {
  local index name callers peers
  for index in "${!centres[@]}"; do
    name="${centres[$index]}-$((index + 1))"
    callers=127.0.0.1:$((7101 + index)); peers=127.0.0.1:$((7201 + index))
    sed -e "s/\"instance\": .*/\"instance\": \"$name\",/" \
        -e "s/\"data_centre\": .*/\"data_centre\": \"${centres[$index]}\",/" \
        -e "s/\"callers\": .*/\"callers\": \"$callers\",/" \
        -e "s/\"peers\": .*/\"peers\": \"$peers\"/" \
        "$root/examples/$deployment/instance.json" >"$work/$name.json"
    "$build/tools/bluebellkeeld" --settings="$work/$name.json" --check \
      >/dev/null || fail "settings of $name"
    start "$name" "$build/tools/bluebellkeeld" --settings="$work/$name.json"
    instance_pid[$name]=$last_pid
    listed "{\"kind\":\"instance\",\"id\":\"$name\",\"data_centre\":\"${centres[$index]}\",\"address\":\"$callers\",\"peer_address\":\"$peers\",\"state\":\"live\"}"
    instances+="${instances:+,}$callers"
  done
  until_true 10 answers 127.0.0.1:7101 /healthz || fail "first instance"
}

ctl() { # ctl TEAM-KEY COMMAND...
  local team_key=$1; shift
  "$build/tools/bluebellkeelctl" --instances="$instances" --key="$team_key" "$@"
}
caller() { "$build/utils/bluebellkeel-caller" --instances="$instances" "$@"; }

put_settings() {
  until_true 10 ctl platform-team-key-0123 settings put-file \
    "$root/examples/$deployment/platform-settings.json" || fail "platform settings"
  ctl "$team-team-key-0123" settings put-file \
    "$root/examples/$deployment/$team-settings.json" || fail "$team settings"
}

ready() {
  local index
  for index in "${!centres[@]}"; do
    answers 127.0.0.1:$((7101 + index)) /readyz || return 1
  done
}
