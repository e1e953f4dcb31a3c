#!/bin/sh
# Builds the stand-ins that the scripts start. It runs after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/_lab
