#!/bin/bash
# See claim.txt. 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../../.." || exit 2
program=target/review-2/quarantine
[[ -x $program && -x target/bin/sequoia-node ]] || { echo "run the build of the deploy file and review/build-2.sh"; exit 2; }
timeout --kill-after=1 115 "$program" "$folder"
status=$?
((status == 0 || status == 1)) || status=2
exit $status
