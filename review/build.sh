#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs g++ and the
# packages libssl-dev and nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/standin/*.cpp -lcrypto \
    -o target/review/standin
