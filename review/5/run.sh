#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-5 ] || exit 2
exec target/review/case-5 --record review/5/record.txt \
    --trouble "${TROUBLE:-1}"
