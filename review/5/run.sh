#!/usr/bin/env bash
# Runs the case on loopback addresses; needs the build of the deploy file and review/build.sh.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standins ] && [ -x target/release/yuccamount-edge ] || exit 2
exec target/review/standins token review/5/record.txt
