#!/usr/bin/env bash
# Checks that the randomized simulation of granter and servers detects the
# removal of a safety rule. Applies each patch to a copy of the tree, builds
# keyrange_test_world and runs it until a key has two holders.
#   tests/mutations/keyrange.sh            all patches
#   tests/mutations/keyrange.sh NAME...    only the named patches
#   RUNS=N   maximum number of runs per mutation (default 600)
# Prints one line per mutation; the exit status is 1 if one was not detected.
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${RUNS:-600}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/tree"
git ls-files -z --cached --others --exclude-standard |
  xargs -0 cp --parents -t "$work/tree" 2>/dev/null
(cd "$work/tree" && git init -q . 2>/dev/null &&
  cmake -S . -B build -G Ninja >/dev/null)

names=("$@")
[ ${#names[@]} -gt 0 ] || for patch in tests/mutations/keyrange/*.patch; do
  name=${patch##*/}
  names+=("${name%.patch}")
done

status=0
for name in "${names[@]}"; do
  patch="$work/tree/tests/mutations/keyrange/$name.patch"
  (cd "$work/tree" && git apply "$patch" &&
    cmake --build build --target keyrange_test_world >/dev/null)
  if (cd "$work/tree" &&
      BGAP_WORLD_RUNS=$runs build/packages/keyrange/keyrange_test_world \
        >"$work/log" 2>&1); then
    echo "$name: NOT FOUND within $runs runs"
    status=1
  else
    echo "$name: $(grep -m 1 -oE 'seed [0-9]+: .*' "$work/log" || grep -m 1 'FAILED' "$work/log")"
  fi
  (cd "$work/tree" && git apply -R "$patch")
done
exit "$status"
