#!/usr/bin/env bash
# Checks the Promela specifications in models/ and prints the number of states
# explored. With --broken, it runs them with named guards removed and exits 0
# only if the checker refutes every run. Installs spin and gcc with Debian's
# package manager if they are missing. Temporary files are removed on exit.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly MEMORY_MB=2000
readonly MAX_DEPTH=100000
readonly RUN_SECONDS=60

# Runs of the complete specifications: file name and preprocessor defines.
readonly COMPLETE_RUNS=(
  "lease"
  "lease ORDERS"
  "delivery"
  "claim"
  "configuration"
  "configuration RACE"
  "results"
)

# Runs with guards removed: file name and preprocessor defines.
readonly BROKEN_RUNS=(
  "lease NO_FENCING"
  "lease NO_WAIT_OUT"
  "lease NO_MARGIN"
  "lease TRUST_FROM_REPLY"
  "lease NO_ATTEMPT_ID"
  "lease ORDERS NO_ORDER_WAIT_OUT"
  "lease ORDERS NO_RELEASE_WAIT"
  "delivery NO_FENCING"
  "delivery NO_ATTEMPT_ID"
  "delivery NO_MARKS"
  "claim NO_ATTEMPT_ID"
  "claim NO_CLAIM_BEFORE_DISPATCH"
  "claim NO_CONDITION"
  "claim RELEASE_UNPROVED"
  "configuration NO_GENERATION_CHECK"
  "configuration NO_INCARNATION_CHECK"
  "configuration RACE NO_HEAD_CONDITION"
  "configuration RACE NO_ATTEMPT_ID"
  "results NO_SETTLE NO_ABSENT"
)

install_checker() {
  if command -v spin > /dev/null && command -v gcc > /dev/null; then
    return
  fi
  local sudo=()
  if [ "$(id -u)" -ne 0 ]; then
    sudo=(sudo)
  fi
  "${sudo[@]}" apt-get update -q > /dev/null
  "${sudo[@]}" apt-get install -y -q --no-install-recommends spin gcc libc6-dev > /dev/null
}

# check NAME [DEFINE...] checks one specification and prints a line that ends in
# "holds", "refuted" or "incomplete".
check() {
  local name=$1
  shift
  local folder
  folder=$(mktemp -d "$temporary/run.XXXXXX")
  cp "models/$name.pml" "$folder/"
  if ! (cd "$folder" && spin "${@/#/-D}" -a "$name.pml" > spin.out 2>&1 &&
    gcc -w -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=$MEMORY_MB -o pan pan.c); then
    cat "$folder/spin.out" >&2
    echo "$name $*: does not compile" >&2
    return 1
  fi
  (cd "$folder" && timeout "$RUN_SECONDS" ./pan -m$MAX_DEPTH > pan.out 2>&1) || true
  report "$folder/pan.out" "$name $*"
}

# report OUTPUT TITLE prints the result line of one run. Only a violated assertion
# or an invalid end state counts as refuted; a run that hit a limit or indexed an
# array out of bounds is incomplete.
report() {
  local output=$1 title=$2 states result cause
  states=$(awk '/states, stored/ { print $1; exit }' "$output")
  cause=$(sed -n 's/^pan:1: \(.*\) (at depth.*/\1/p' "$output" | head -n 1)
  if grep -q 'errors: 0' "$output" && ! grep -Eq 'not completed|out of memory|too small' "$output"; then
    result=holds
  elif [[ $cause == "assertion violated"* || $cause == "invalid end state"* ]] &&
    [[ $cause != *"invalid array index"* ]]; then
    result=refuted
  else
    result=incomplete
  fi
  printf '%-40s %10s states  %s%s\n' "$title" "${states:-?}" "${cause:+$cause: }" "$result"
}

temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
install_checker

case "${1:-}" in
  "") runs=("${COMPLETE_RUNS[@]}") expected=holds ;;
  --broken) runs=("${BROKEN_RUNS[@]}") expected=refuted ;;
  *)
    echo "usage: scripts/model.sh [--broken]" >&2
    exit 2
    ;;
esac

failed=0
for run in "${runs[@]}"; do
  read -r -a arguments <<< "$run"
  line=$(check "${arguments[@]}")
  echo "$line"
  if [[ $line != *" $expected" ]]; then
    failed=1
  fi
done
if [ "$failed" -ne 0 ]; then
  echo "not every run ended in the expected result: $expected" >&2
fi
exit "$failed"
