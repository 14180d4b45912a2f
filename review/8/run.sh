#!/bin/sh
# A client sends many commands at once and goes; does an attempt for it begin more than 0.1 s later?
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
[ -x ../../bin/rig2 ] || { echo "could not run: review/build-2.sh has not been run"; exit 2; }
exec ../../bin/rig2 leave ../.. record.txt
