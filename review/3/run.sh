#!/bin/sh
# Plays case 3. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/wheelgauge-gateway target/wheelgauge-store target/review/stand; do
	[ -x "$program" ] || { echo "$program is missing: build first" >&2; exit 2; }
done
exec target/review/stand late-order review/3
