#!/bin/sh
# Sends writes whose text holds a line feed, and compares what the members ran with what was sent.
# TROUBLE=0 does the same without the disruption.
trouble=${TROUBLE:-1}
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f review/build/review/Lab.class ] && [ -f target/kumquatknot.jar ] || exit 2
exec java -cp review/build review.LineCase "$folder" "$trouble"
