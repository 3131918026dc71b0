#!/usr/bin/env bash
# Installs missing Debian packages and builds the project.
#   ./setup.sh              release build in build/
#   ./setup.sh --deps-only  packages only
set -euo pipefail
cd "$(dirname "$0")"

packages=(
  gcc clang clang-format clang-tidy cmake ninja-build pkg-config
  libevent-dev libevhtp-dev libzmq3-dev liblog4c-dev libcmocka-dev
  libyaml-dev libmsgpack-dev libxxhash-dev libzstd-dev uthash-dev libjansson-dev libssl-dev
  libfuzzer-14-dev libclang-rt-14-dev python3 curl
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
    grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  echo "installing: ${missing[*]}"
  sudo=""
  [ "$(id -u)" = 0 ] || sudo=sudo
  $sudo apt-get update -q
  $sudo env DEBIAN_FRONTEND=noninteractive \
    apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
[ "${1:-}" = --deps-only ] && exit 0

cmake -S . -B build -G Ninja >/dev/null
cmake --build build
echo "built: build/bin/banyangapd build/bin/banyangapctl"
