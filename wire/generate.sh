#!/bin/sh
# Regenerates src/runkeel/wire/generated; needs the Apache Thrift compiler 0.17. The result is committed.
set -eu
cd "$(dirname "$0")"
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
for file in *.thrift; do
  thrift --gen py:slots -out "$scratch" "$file"
done
rm -f "$scratch"/runkeel/wire/generated/__init__.py
cp -r "$scratch"/runkeel/wire/generated/* ../src/runkeel/wire/generated/
