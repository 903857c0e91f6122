#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$here/../..
PYTHONPATH=$root/target/deps:$root/target/review/standins
export PYTHONPATH
python3 -c 'import almondspan_site, small_fleet' || exit 2
exec python3 "$here/case.py" "$here"
