#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with rustc alone, without packages or a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/src-2/case_*.rs; do
    [ -e "$source" ] || continue
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
