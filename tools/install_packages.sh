#!/usr/bin/env bash
# Installs the Debian 12 packages that building, testing and linting need. Run as root (or through sudo).
set -euo pipefail
packages=(
  g++ cmake ninja-build ccache pkg-config git python3
  libboost1.81-dev libboost-json1.81-dev libabsl-dev libfmt-dev catch2 libnanopb-dev libtomlplusplus-dev
  libxxhash-dev prometheus-cpp-dev libssl-dev libbenchmark-dev zlib1g-dev libcurl4-openssl-dev
  curl clang-14 clang-format-14 clang-tidy-14 libclang-rt-14-dev gnuplot-nox
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
privileged=()
[ "$(id -u)" -eq 0 ] || privileged=(sudo)
"${privileged[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${privileged[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
