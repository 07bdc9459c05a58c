#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/release/roselock ] || exit 2
[ -x target/review-2/case_upgrade_memory ] || exit 2
exec target/review-2/case_upgrade_memory "$folder/record.txt"
