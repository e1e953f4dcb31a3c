#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
cd "$(dirname "$0")/../.." && exec target/review-lab-2 passed-key review/8
