#!/usr/bin/env bash
# Installs the Debian 12 packages needed to build, test and lint: those of the deployment's build and developer tools.
# Run as root or with sudo available.
set -euo pipefail
cd "$(dirname "$0")/.."
# The packages of the gateway's build are listed only in deploy/system.toml, which the platform reads too; a name that
# is unknown to apt fails here.
mapfile -t packages < <(sed -n 's/^packages = \[\(.*\)\]$/\1/p' deploy/system.toml | grep -o '[a-z0-9][a-z0-9+.-]*')
if [ "${#packages[@]}" -eq 0 ]; then
  echo "deploy/system.toml: no line that begins with packages = ["
  exit 1
fi
packages+=(
  ninja-build ccache git python3 catch2 libbenchmark-dev curl strace
  clang-14 clang-format-14 clang-tidy-14 libclang-rt-14-dev gnuplot-nox
)
# The compiler for the other supported processor.
case "$(dpkg --print-architecture)" in
  amd64) packages+=(g++-aarch64-linux-gnu) ;;
  arm64) packages+=(g++-x86-64-linux-gnu) ;;
  *)
    echo "$(dpkg --print-architecture) is not supported; supported: amd64, arm64"
    exit 1
    ;;
esac
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
