#!/usr/bin/env bash
# Builds the scripts' stand-ins in target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
cases=(11 12 13 14 15)
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -I. -Ipackages)
libraries=(target/packages/adapters/http1/libadapters_http1.a
  target/packages/adapters/http/libadapters_http.a target/packages/base/libbase.a
  $(pkg-config --libs libevent libevent_pthreads) -lhttp_parser -lcrypto -lxxhash -llog4cplus -lpthread)
compile() { g++ "${flags[@]}" -c "$1" -o "$out/$2.o"; }
compile review/common-3/World.cc world
compile standins/fleet/Store.cpp store
for name in "${cases[@]}"; do
  compile "review/$name/scenario.cc" "case-$name"
  g++ "$out/case-$name.o" "$out/world.o" "$out/store.o" "${libraries[@]}" -o "$out/case-$name"
done
