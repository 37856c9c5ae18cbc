#!/bin/sh
# Kills a process amid a COMMIT that another process runs, and reads through the restarted process.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f review/build/review/Lab.class ] && [ -f target/kumquatknot.jar ] || exit 2
exec java -cp review/build review.ForwardCase "$folder" "$trouble"
