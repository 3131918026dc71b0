#!/usr/bin/env bash
# Checks that the ownership fuzzer detects the removal of each safety rule.
# Applies each patch to a copy of the tree, builds fuzz_ownership and runs it,
# starting from the committed corpus, until it reports a violation.
#   tests/mutations/run.sh                 all patches
#   tests/mutations/run.sh NAME...         only these patches
#   RUNS=N      maximum runs per mutation (default 20000)
#   SEED=N      seed of the fuzzer (default 1)
#   CORPUS=0    start without the committed corpus
# Prints one line per mutation. Exits with 1 if a mutation was not detected.
set -euo pipefail
cd "$(dirname "$0")/../.."
runs=${RUNS:-20000}
seed=${SEED:-1}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir "$work/tree"
git ls-files -z --cached --others --exclude-standard |
  xargs -0 cp --parents -t "$work/tree" 2>/dev/null
corpus=packages/ownership/tests/fuzz/corpus/fuzz_ownership
(
  cd "$work/tree"
  git init -q . 2>/dev/null
  CC=clang cmake -S . -B build -G Ninja -DBGAP_FUZZ=ON -DBGAP_SANITIZE=ON >/dev/null
  cmake --build build --target fuzz_ownership >/dev/null
)

names=("$@")
[ ${#names[@]} -gt 0 ] || for patch in tests/mutations/*.patch; do
  name=${patch##*/}
  names+=("${name%.patch}")
done

status=0
for name in "${names[@]}"; do
  patch="$work/tree/tests/mutations/$name.patch"
  (cd "$work/tree" && git apply "$patch" && cmake --build build --target fuzz_ownership >/dev/null)
  mkdir -p "$work/inputs" "$work/found"
  if [ "${CORPUS:-1}" = 1 ]; then
    cp "$work/tree/$corpus"/* "$work/inputs/"
  fi
  if "$work/tree/build/fuzz/fuzz_ownership" -seed="$seed" -runs="$runs" \
      -max_len=512 -timeout=60 -print_final_stats=1 \
      -artifact_prefix="$work/found/" "$work/inputs" >"$work/log" 2>&1; then
    echo "$name: NOT FOUND within $runs runs"
    status=1
  else
    count=$(sed -n 's/^stat::number_of_executed_units: *//p' "$work/log" | tail -n 1)
    echo "$name: ${count:-?} runs; $(grep -m 1 -oE 'violation: .*|ERROR: .*' "$work/log")"
  fi
  rm -rf "$work/inputs" "$work/found"
  (cd "$work/tree" && git apply -R "$patch")
done
exit "$status"
