#!/bin/sh
# Eight clients send questions without waiting for answers for 6.5 s; later another client asks again.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -f review/build/review/Lab.class ] && [ -f target/kumquatknot.jar ] || exit 2
exec java -cp review/build review.FloodCase "$folder"
