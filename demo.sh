#!/usr/bin/env bash
# Demonstrates banyangap on loopback: starts stand-ins for the platform, the
# backend servers of one deployment and three instances, sends requests, kills
# a server, explains a key and prints a dump. Ends by itself within 30 s.
set -euo pipefail
cd "$(dirname "$0")"
[ -x build/bin/banyangapd ] || { echo "run ./setup.sh first" >&2; exit 2; }

bin=build/bin
work=$(mktemp -d)
pids=()
declare -A servers
cleanup() {
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

export BANYANGAP_ADDRESS=127.0.0.1:21120 BANYANGAP_TOKEN=operator-example
entries=(127.0.0.1:21100 127.0.0.1:21101 127.0.0.1:21102)
step() { printf '\n== %s\n' "$*"; }
# start LOG COMMAND...: runs a program in the background.
start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}
# until_ok SECONDS COMMAND...: repeats a command until it succeeds; exits with an
# error after SECONDS.
until_ok() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || { echo "timed out: $*" >&2; tail -n 5 "$work"/entry-*.log >&2; exit 1; }
    sleep 0.05
  done
}
get() { curl -sf -m 3 -H 'Bgap-Deadline-Ms: 500' "http://$1$2"; }
uuid7() { python3 -c 'import os,time,uuid
v=(int(time.time()*1000)<<80)|int.from_bytes(os.urandom(10),"big")
print(uuid.UUID(int=v&~(0xf<<76)&~(3<<62)|(7<<76)|(2<<62)))'; }

step "start the stand-ins of the platform and 24 backend servers"
start log "$bin/standin-log" --address 127.0.0.1:21200
start hosts "$bin/standin-hosts" --address 127.0.0.1:21201
while read -r service name zone address; do
  grants=()
  [ "$service" = mosearkiv ] || grants=(--no-grants)
  start "$name" "$bin/standin-backend" --name "$name" --service "styrelsen.$service" \
    --address "$address" --slots=4 --connections=110 --work-ms=2 "${grants[@]}"
  servers[styrelsen.$name]=$!
  printf '{"name":"%s","zone":"%s","role":"backend","address":"%s","state":"live"},' \
    "$name" "$zone" "$address" >>"$work/hosts"
done < <(awk '/^service:/ {s=$2} /- name:/ {n=$3} /^    zone:/ {z=$2}
              /^    address:/ {print s, n, z, $2}' examples/styrelsen/*.yaml)
number=0
for zone in vildmosen aamosen hoejmosen; do
  printf '{"name":"entry-%s","zone":"%s","role":"entry","address":"127.0.0.1:2110%d","peer_address":"127.0.0.1:2111%d","state":"live"},' \
    "$zone" "$zone" "$number" "$number" >>"$work/hosts"
  number=$((number + 1))
done
until_ok 5 curl -sf -X PUT http://127.0.0.1:21201/hosts \
  -d "{\"hosts\":[$(sed 's/,$//' "$work/hosts")]}"

step "start three instances, one per zone"
for zone in vildmosen aamosen hoejmosen; do
  start "entry-$zone" "$bin/banyangapd" --settings "examples/settings/entry-$zone.yaml"
done
for port in 21120 21121 21122; do
  until_ok 5 curl -sf "http://127.0.0.1:$port/healthz"
done

step "publish the configuration"
"$bin/banyangapctl" apply --based-on 0 examples/styrelsen
key=/styrelsen/mosearkiv/well-17/2026
for entry in "${entries[@]}"; do until_ok 10 get "$entry" "$key"; done

step "a keyed read, from each instance: the same holder answers"
for entry in "${entries[@]}"; do get "$entry" "$key"; echo; done

step "a read without a key: any server answers"
get "${entries[1]}" /styrelsen/vandstand/levels; echo

step "a non-repeatable write, sent three times with one key: it runs once"
idempotency_key=$(uuid7)
for entry in "${entries[@]}"; do
  until_ok 10 curl -sf -m 3 -X POST -H "Idempotency-Key: $(uuid7)" -d warm \
    "http://$entry/styrelsen/groeftregister/warm-up"
  curl -s -m 5 -X POST -H "Idempotency-Key: $idempotency_key" -d closed \
    "http://$entry/styrelsen/groeftregister/ditch-9"; echo
done

step "who holds the key"
"$bin/banyangapctl" explain styrelsen/mosearkiv/well-17
holder=$("$bin/banyangapctl" --output json explain styrelsen/mosearkiv/well-17 |
  python3 -c 'import json,sys; print(json.load(sys.stdin)["holder"])')

step "kill its holder, $holder"
kill -9 "${servers[$holder]}"
killed=$(date +%s%N)
until_ok 10 get "${entries[2]}" "$key"
echo "served again after $((($(date +%s%N) - killed) / 1000000)) ms by:"
get "${entries[2]}" "$key"; echo
"$bin/banyangapctl" explain styrelsen/mosearkiv/well-17

step "state of one instance (first lines of its dump)"
"$bin/banyangapctl" dump >"$work/dump"
head -n 25 "$work/dump"
step "done"
