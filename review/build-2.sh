#!/usr/bin/env bash
# Builds what the scripts of this review start, in target/review-2, after the deploy file's build:
# the project's stand-in for the platform and its runners, and the review's own callers.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
mapfile -t libraries < <(find target/packages -name '*.a')
read -r -a packages <<< "$(pkg-config --cflags --libs libevent libevent_pthreads libxxhash openssl)"
g++ -std=c++20 -O2 -I. -Ipackages standins/fleet/*.cpp -o target/review-2/standin_fleet \
  -Wl,--start-group "${libraries[@]}" -Wl,--end-group "${packages[@]}" -lhttp_parser -llog4cplus -lpthread
g++ -std=c++20 -O2 review/common-2/callers.cc -o target/review-2/callers
