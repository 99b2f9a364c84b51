#!/usr/bin/env bash
# Installs the Debian packages that the build needs.
#
# libulfius-dev and prometheus-cpp-dev depend on conflicting curl development packages, so only the
# headers of the latter are unpacked, into deps/, and its shared library is installed normally.
set -euo pipefail
cd "$(dirname "$0")/.."

packages=(
  g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl openssl
  libulfius-dev libmicrohttpd-dev libcurl4-gnutls-dev libgnutls28-dev libprometheus-cpp-core1.0 libnng-dev
  libspdlog-dev libboost-dev libcppunit-dev libyaml-cpp-dev libprotobuf-dev protobuf-compiler
  libxxhash-dev nlohmann-json3-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
sudo=""
[ "$(id -u)" -eq 0 ] || sudo=sudo
updated=false
if [ "${#missing[@]}" -gt 0 ]; then
  $sudo apt-get update -q
  updated=true
  $sudo env DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
if [ ! -f deps/usr/include/prometheus/counter.h ]; then
  $updated || $sudo apt-get update -q
  mkdir -p deps/download
  (cd deps/download && apt-get download -q prometheus-cpp-dev && dpkg-deb -x prometheus-cpp-dev_*.deb ..)
fi
