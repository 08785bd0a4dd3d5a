#!/usr/bin/env bash
# The operator takes away the last tenant. Exits with 1 if a runner runs a
# request whose key no configuration ever held.
source "$(dirname "$0")/../standins-2/deployment.sh"
[ -x "$bin/8-caller" ] || cannot_run "not built: $bin/8-caller"

configure_tenants() { # configure_tenants VERSION TENANTS
  put keyed.op config '{"version":'"$1"',"routes":['"$(route order non_idempotent 1 8000)"'],"services":[{"name":"desk","health_path":"/healthz","cold_start_s":0,"cold_per_s":0}],"tenants":['"$2"'],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":30000}}' ||
    cannot_run "the configuration cannot be written"
  echo "$(date +%s%3N) configuration $1 confirmed, tenants: [$2]" | tee -a "$record"
}

start_store
start_runner 1 "$bin/runner" --work_ms=20
start_runner 2 "$bin/runner" --work_ms=20
start_gateway 1
start_gateway 2
configure_tenants 3 '{"name":"mill","api_keys":["'$key'"]}'
await_ready 1 2
sleep 1

callers=()
for number in 1 2; do
  start "stranger$number" "$bin/8-caller" --to="127.0.0.1:${front[$number]}" \
    --host=$host --key=key-of-nobody --record="$record" \
    --name="stranger$number" --for_ms=12000
  callers+=("$last")
  start "mill$number" "$bin/8-caller" --to="127.0.0.1:${front[$number]}" \
    --host=$host --key=$key --record="$record" --name="mill$number" \
    --for_ms=12000
  callers+=("$last")
done
sleep 4
[ "$trouble" = 0 ] || configure_tenants 7 ''
wait "${callers[@]}"
alive 1 && alive 2 || cannot_run "a gateway has ended"

served=$(grep -c ' answered mill.* 200$' "$record")
[ "$served" -ge 20 ] || cannot_run "only $served orders of the tenant were served"
refused=$(grep -c ' answered stranger.* 401$' "$record")
run=$(grep -c ' run stranger' "$record")
echo "requests with a key that no configuration ever held: refused with 401 $refused, run $run" |
  tee -a "$record"
[ "$run" = 0 ] || exit 1
exit 0
