#!/bin/sh
# Builds the stand-ins that the scripts start; they need what deploy/build.sh builds.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
rm -rf ../target/review/standins
cp -r standins ../target/review/
python3 -m compileall -q ../target/review/standins
