#!/bin/sh
# Starts two processes, stops one with SIGTERM amid transactions, and looks for statements without an answer.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f review/build/review/Lab.class ] && [ -f target/kumquatknot.jar ] || exit 2
exec java -cp review/build review.StopCase "$folder" "$trouble"
