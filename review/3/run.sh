#!/bin/sh
# Plays the case. Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 plays it without the
# disruption. The deploy file's build and review/build.sh come first.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
if [ ! -x "$here/../bin/rig" ] || [ ! -x "$here/../../bin/cometpond" ]; then
  echo "run the build of deploy/balancer.toml and review/build.sh first" >&2
  exit 2
fi
exec "$here/../bin/rig" -repo "$here/../.." -record "$here/record.txt" starve
