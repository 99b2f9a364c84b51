#!/usr/bin/env bash
# Installs the finished build in build/ into a temporary folder, builds examples/embedding against
# the installed package and runs the examples. The last line is `examples: N passed, N failed`; the
# status is 0 only if none failed. Compiles nothing but the examples.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -f build/cmake_install.cmake ]; then
  echo "test-install: build/ holds no finished build; run cmake --build build first" >&2
  exit 1
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

cmake --install build --prefix "$work/prefix" >"$work/install.log" || {
  echo "test-install: the installation failed; the build may be unfinished" >&2
  exit 1
}
if find "$work/prefix" -name 'standin-*' -o -name '*.yaml' | grep -q .; then
  echo "test-install: stand-ins or example settings were installed" >&2
  exit 1
fi
for program in fuchsia-gateway fuchsia-scheduler fuchsia-agent fuchsiactl; do
  "$work/prefix/bin/$program" --version
done

launcher=$(command -v ccache || true)
cmake -S examples/embedding -B "$work/examples" -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PREFIX_PATH="$work/prefix" ${launcher:+-DCMAKE_CXX_COMPILER_LAUNCHER="$launcher"} \
  >"$work/configure.log" || { cat "$work/configure.log" >&2; exit 1; }

passed=0
failed=0
# An example that does not build counts as failed; the others still run.
cmake --build "$work/examples" -j "${JOBS:-3}" -- -k 0 >"$work/build.log" 2>&1 ||
  grep -E 'error|FAILED' "$work/build.log" >&2 || true
for source in examples/embedding/*.cc; do
  name=$(basename "$source" .cc)
  if timeout 30 "$work/examples/$name" >"$work/$name.log" 2>&1; then
    passed=$((passed + 1))
  else
    failed=$((failed + 1))
    echo "FAILED: $name"
    cat "$work/$name.log"
  fi
done
echo "examples: $passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
