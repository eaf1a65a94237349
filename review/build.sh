#!/usr/bin/env bash
# Builds the programs of the review's scripts, which contain all their stand-ins, into target/review.
# Needs the compiler and nlohmann-json3-dev, which deploy/system.toml declares.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/main.cc; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -I. "$source" -o "target/review/case$number" -pthread
done
