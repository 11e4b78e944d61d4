#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
[ -x target/bramleyline ] && [ -x target/standin ] || exit 2
exec target/standin takeback target/bramleyline review/4/record.txt
