#!/bin/sh
# Installs the daemon and its dependencies in target/deps.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s deploy/requirements.txt target/deps/requirements.txt; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt target/deps/requirements.txt
fi
# The packages are copied because pip would build them in their source
# folders, which must not change.
rm -rf target/new
mkdir -p target/new
for package in packages/core packages/transport packages/daemon platform; do
  cp -R "$package/src/hyssopwind/." target/new/
done
find target/new -type d \( -name tests -o -name __pycache__ \) -prune \
  -exec rm -rf {} +
# An unchanged copy is not replaced, since daemons that start during the build
# import it.
if ! diff -rq -x __pycache__ target/new target/deps/hyssopwind >/dev/null 2>&1
then
  rm -rf target/deps/hyssopwind
  mv target/new target/deps/hyssopwind
  # Daemons cannot write bytecode next to the sources and would otherwise
  # compile the packages at each start.
  python3 -m compileall -q target/deps/hyssopwind
fi
rm -rf target/new
