#!/bin/sh
# Puts the pinned libraries and the packages that the two roles import under target/deps.
set -eu
pins=$(cat platform/requirements.txt constraints.txt | cksum | cut -d' ' -f1)
if [ ! -e "target/pins-$pins" ]; then
    rm -rf target/deps
    python3 -m pip install -q --target target/deps -c constraints.txt \
        -r platform/requirements.txt
    touch "target/pins-$pins"
fi
for package in decisions jobs platform wire; do
    rm -rf "target/deps/almondspan_$package"
    cp -r "packages/$package/almondspan_$package" target/deps/
done
rm -rf target/deps/almondspan_site
cp -r platform/almondspan_site target/deps/
python3 -m compileall -q target/deps
