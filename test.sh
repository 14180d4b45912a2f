#!/usr/bin/env bash
# The project's test command: format, vet, build, tests, the module's size.
set -euo pipefail
cd "$(dirname "$0")"
out=$(gofmt -l .)
if [ -n "$out" ]; then echo "gofmt needed: $out"; exit 1; fi
if git rev-parse --is-inside-work-tree >/dev/null 2>&1; then
  big=$(git ls-files -z -- . ':!journal' | while IFS= read -r -d '' f; do
    if [ -f "$f" ] && [ "$(wc -c <"$f")" -gt 1048576 ]; then echo "$f"; fi
  done)
  if [ -n "$big" ]; then echo "tracked files over 1 MB:" $big "(want none outside journal/)"; exit 1; fi
fi
go vet ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$build" ] || { echo "no build command in deploy/balancer.toml"; exit 1; }
bash -c "$build"
go test -count=1 ./...
total=0
for f in $(sed -n 's/^policy = \[\(.*\)\]$/\1/p' deploy/balancer.toml | tr -d '",'); do
  lines=$(grep -c '[^[:space:]]' "$f")
  total=$((total + lines))
  [ "$total" -le 1000 ] || { echo "the policy files hold $total lines, 1000 at most"; exit 1; }
  long=$(awk '{ gsub(/\t/, " ") } length($0) > 110 { print NR }' "$f")
  [ -z "$long" ] || { echo "$f: over 110 characters in lines" $long; exit 1; }
  echo "$f: $lines non-blank lines"
done
