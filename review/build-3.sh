#!/bin/sh
# Builds the stand-ins of the third review: they are Python, so they are only compiled.
# They import aiohttp from target/deps, which the build of the deploy file has made.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-3
