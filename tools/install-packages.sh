#!/bin/bash
# Installs the packages that the build, the tests and the linters need.
set -euo pipefail

Packages=(
  g++ cmake ninja-build ccache pkg-config
  clang-format-14 clang-tidy-16
  libboost1.81-dev libboost-context1.81-dev libboost-coroutine1.81-dev
  libboost-url1.81-dev
  libjsonrpccpp-dev libjsoncpp-dev
  prometheus-cpp-dev libgflags-dev liblog4cxx-dev libabsl-dev
  libyaml-cpp-dev libxxhash-dev
  libcriterion-dev librapidcheck-dev
  curl python3 gnuplot-nox
)

Missing=()
for Package in "${Packages[@]}"; do
  dpkg-query -W -f='${Status}' "$Package" 2>/dev/null |
    grep -q 'ok installed' || Missing+=("$Package")
done

if [ ${#Missing[@]} -eq 0 ]; then
  echo "packages: all installed"
  exit 0
fi

Sudo=""
[ "$(id -u)" -eq 0 ] || Sudo="sudo"

echo "packages: installing ${Missing[*]}"
$Sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $Sudo apt-get install -y -qq \
  --no-install-recommends "${Missing[@]}" >/dev/null
