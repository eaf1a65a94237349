#include "review/common-3/World.hpp"

#include <cstdio>

/// \file
/// The runners of one of two software versions leave, and a new configuration shortens the time-out
/// of the route. Clients take up the streams that these runners have not ended.

using namespace papayafield;
using namespace papayafield::review;

namespace {

constexpr int kStreams = 60;
/// Number of streams with events of two versions up to which the rule holds.
constexpr int kMaxMixed = 2;
constexpr base::Millis kShortTimeout{ 1500 };

} // namespace

int main(int aCount, char** aValues) {
  World world(CaseFolder(aCount, aValues), {});
  Record& record = world.Log();
  std::vector<Runner*> leaving;
  for (int i = 0; i < 2; ++i) {
    world.AddRunner("stays-" + std::to_string(i), "v1");
    leaving.push_back(&world.AddRunner("leaves-" + std::to_string(i), "v2"));
  }
  Directory zones[] = { { world, 0, 1 }, { world, 1, 1 }, { world, 2, 1 } };
  std::vector<std::shared_ptr<StreamClient>> clients;
  for (int i = 0; i < 160; ++i) {
    world.At(base::Millis(i * 100), [&] {
      for (Directory& zone : zones) {
        zone.Addresses();
      }
    });
  }
  for (int i = 0; i < kStreams; ++i) {
    world.At(base::Millis(500 + i * 10), [&, i] {
      clients.push_back(world.StartStream(zones[i % 3], "/notes/a?events=70&every_ms=190"));
    });
  }
  // These runners never report that they drain: their entries are removed, and they exit 3.5 s
  // later (drain_ms and the linger_ms of the site).
  world.At(base::Millis(6700), [&] {
    for (Runner* runner : leaving) {
      world.Unregister(*runner);
      runner->Leave();
    }
  });
  if (HasTrouble()) {
    world.At(base::Millis(6800), [&] {
      record.Write("configuration 7: time-out of the route 1,500 ms");
      world.Configure(7, kShortTimeout);
    });
  }
  world.At(base::Millis(10200), [&] {
    for (Runner* runner : leaving) {
      record.Write(runner->Id() + " exits");
      runner->Crash();
    }
  });
  if (!world.Run(base::Millis(18000))) {
    record.Write("the nodes did not become ready");
    return 2;
  }
  int mixed = 0;
  int takenUp = 0;
  for (const auto& client : clients) {
    const StreamResult& result = client->Result();
    takenUp += result.m_tries.size() > 1 && !result.m_tries[1].m_lastEvent.empty() ? 1 : 0;
    mixed += result.m_versions.size() > 1 ? 1 : 0;
  }
  char text[120];
  std::snprintf(text,
                sizeof(text),
                "streams taken up again: %d, with events of two versions: %d",
                takenUp,
                mixed);
  record.Write(text);
  std::puts(text);
  record.Write(mixed > kMaxMixed ? "ORDER is broken" : "ORDER holds");
  return mixed > kMaxMixed ? 1 : 0;
}
