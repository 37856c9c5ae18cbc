#!/bin/sh
# Case 11: primaries of services with a synchronous replica are replaced while clients write (TROUBLE=0: they aren't).
# Exits with 1 if an acknowledged commit was lost, 0 if none was, 2 if the case couldn't run. Needs review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx512m -cp target/review-3 PromotionCase "${RECORD:-review/11/record.txt}"
