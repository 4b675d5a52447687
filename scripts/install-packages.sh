#!/bin/bash
# Installs the declared Debian packages, when one of them is missing. Needs root.
set -euo pipefail
packages=(
    build-essential clang clang-format clang-tidy cmake ninja-build ccache pkg-config git curl
    libglib2.0-dev libsoup-3.0-dev libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc
    liblog4cxx-dev libgflags-dev libboost-dev libxxhash-dev doctest-dev librapidcheck-dev libclang-rt-14-dev
    nlohmann-json3-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}\n' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if ((${#missing[@]})); then
    echo "installing: ${missing[*]}"
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
