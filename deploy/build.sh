#!/bin/sh
# Installs the daemon and its libraries below target/deps.
set -eu
cd "$(dirname "$0")/.."
if ! cmp -s deploy/requirements.txt target/deps/requirements.txt; then
  rm -rf target/deps
  python3 -m pip install -q --target target/deps -r deploy/requirements.txt
  cp deploy/requirements.txt target/deps/requirements.txt
fi
# The packages are copied rather than installed: pip would build them in
# their source folders, which must stay as they are.
rm -rf target/deps/hyssopwind
mkdir -p target/deps/hyssopwind
for package in packages/core packages/transport packages/daemon platform; do
  cp -R "$package/src/hyssopwind/." target/deps/hyssopwind/
done
find target/deps/hyssopwind -type d -name tests -prune -exec rm -rf {} +
# Processes can't write beside their sources, so they would compile the
# packages anew at each start.
python3 -m compileall -q target/deps/hyssopwind
