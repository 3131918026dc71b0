#!/usr/bin/env bash
# Checks that a simulation detects the removal of each of its rules. Applies
# each patch to a copy of the tree, builds the test and runs it until it fails.
#   tests/mutations/simulation.sh SET            all patches of a set
#   tests/mutations/simulation.sh SET NAME...    only the named patches
#   RUNS=N   maximum number of runs of a mutation of keyrange (default 600)
# Sets: keyrange (keyrange_test_world), restored (keyrange_test_restored_store and _wait),
# fencing (keyrange_test_fencing), takeover (keyrange_test_former_leases), limit (routing_test_permit_issuer and _rate_limit),
# cold (routing_test_warm_check, _cold_unheard, _cold_late, _cold_restart, _permit_issuer and _cold_limit), warmup (registry_test_warmup), pause (routing_test_pause),
# leaving (registry_test_server_view and _server_statements), refusal (gateway_test_backend_judge), callers (gateway_test_frontend_left), zones (registry_test_zone_view),
# evacuation (routing_test_evacuation), zone-keys (keyrange_test_evacuation),
# connections (gateway_test_frontend_full and _response), quarantine (routing_test_quarantine), stop (routing_test_stop_schedule, _stop_limits and _end_by), placement (routing_test_cost_model, _outstanding and _placement).
# Prints one line per mutation; the exit status is 1 if one was not detected.
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${RUNS:-600}
set=${1:?name of the set}
shift
case $set in
keyrange) package=keyrange test=keyrange_test_world ;;
restored) package=keyrange test="keyrange_test_restored_store keyrange_test_restored_wait" ;;
fencing) package=keyrange test=keyrange_test_fencing ;;
takeover) package=keyrange test=keyrange_test_former_leases ;;
limit) package=routing test="routing_test_permit_issuer routing_test_rate_limit" ;;
cold) package=routing test="routing_test_warm_check routing_test_permit_issuer routing_test_cold_restart routing_test_cold_unheard routing_test_cold_late routing_test_cold_limit" ;;
warmup) package=registry test=registry_test_warmup ;;
pause) package=routing test=routing_test_pause ;;
quarantine) package=routing test=routing_test_quarantine ;;
stop) package=routing test="routing_test_stop_schedule routing_test_stop_limits routing_test_end_by" ;;
placement) package=routing test="routing_test_cost_model routing_test_outstanding routing_test_placement" ;;
leaving) package=registry test="registry_test_server_view registry_test_server_statements" ;;
refusal) package=gateway test=gateway_test_backend_judge ;;
connections) package=gateway test="gateway_test_frontend_full gateway_test_frontend_response" ;;
callers) package=gateway test=gateway_test_frontend_left ;;
zones) package=registry test=registry_test_zone_view ;;
evacuation) package=routing test=routing_test_evacuation ;;
zone-keys) package=keyrange test=keyrange_test_evacuation ;;
*) echo "unknown set $set" >&2 && exit 2 ;;
esac
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/tree"
git ls-files -z --cached --others --exclude-standard |
  xargs -0 cp --parents -t "$work/tree" 2>/dev/null
(cd "$work/tree" && git init -q . 2>/dev/null &&
  cmake -S . -B build -G Ninja >/dev/null)

names=("$@")
[ ${#names[@]} -gt 0 ] || for patch in tests/mutations/$set/*.patch; do
  name=${patch##*/}
  names+=("${name%.patch}")
done

status=0
for name in "${names[@]}"; do
  patch="$work/tree/tests/mutations/$set/$name.patch"
  (cd "$work/tree" && git apply "$patch" &&
    cmake --build build --target $test >/dev/null)
  if (cd "$work/tree" &&
      for program in $test; do
        BGAP_WORLD_RUNS=$runs build/packages/$package/$program || exit 1
      done >"$work/log" 2>&1); then
    echo "$name: NOT FOUND within $runs runs"
    status=1
  else
    echo "$name: $(grep -m 1 -oE 'seed [0-9]+: .*' "$work/log" || grep -m 1 'FAILED' "$work/log")"
  fi
  (cd "$work/tree" && git apply -R "$patch")
done
exit "$status"
