#!/usr/bin/env bash
# Builds the stand-ins and checks of this review into review/bin/. Needs g++ and nlohmann-json3-dev, which
# deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    [ -f "$source" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case${source%%/*}" "$source"
done
