#!/usr/bin/env bash
# Installs everything that the build, the tests and the linter need, from the Debian archive.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev
  libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev libboost-thread1.81-dev
  libboost-filesystem1.81-dev libcapnp-dev capnproto libgflags-dev libgtest-dev libgmock-dev
  libxxhash-dev librapidcheck-dev liblua5.4-dev gnuplot-nox curl jq)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
fi
