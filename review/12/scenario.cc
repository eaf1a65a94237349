#include "review/common-3/World.hpp"

#include <csignal>
#include <cstdio>

/// \file
/// A machine freezes. Meanwhile a runner of a new software version joins, begins streams, and
/// crashes. Clients take their streams up again, some of them at the machine that wakes.

using namespace papayafield;
using namespace papayafield::review;

namespace {

constexpr int kOldRunners = 3;
constexpr int kStreams = 90;
/// Number of streams with events of two versions up to which the rule holds.
constexpr int kMaxMixed = 2;

} // namespace

int main(int aCount, char** aValues) {
  World world(CaseFolder(aCount, aValues), {});
  Record& record = world.Log();
  for (int i = 0; i < kOldRunners; ++i) {
    world.AddRunner("old-" + std::to_string(i), "v1");
  }
  // Clients that keep the addresses for three times as long as the answer says.
  Directory zones[] = { { world, 1, 3 }, { world, 2, 3 } };
  std::vector<std::shared_ptr<StreamClient>> clients;
  const auto addStream = [&](int aAtMs, int aIndex) {
    world.At(base::Millis(aAtMs), [&, aIndex] {
      clients.push_back(world.StartStream(zones[aIndex % 2], "/notes/a?events=56&every_ms=180"));
    });
  };
  if (HasTrouble()) {
    world.At(base::Millis(4000), [&] {
      record.Write("node-0 freezes");
      world.NodeAt(0).Signal(SIGSTOP);
    });
    world.At(base::Millis(7600), [&] {
      record.Write("node-0 wakes");
      world.NodeAt(0).Signal(SIGCONT);
    });
  }
  world.At(base::Millis(4300), [&] {
    for (Directory& zone : zones) {
      zone.Addresses();
    }
  });
  Runner* fresh = nullptr;
  world.At(base::Millis(6100), [&] { fresh = &world.AddRunner("new-0", "v2"); });
  for (int i = 0; i < kStreams; ++i) {
    addStream(6250 + i * 6, i);
  }
  world.At(base::Millis(7100), [&] {
    record.Write("new-0 crashes");
    fresh->Crash();
  });
  world.At(base::Millis(9100), [&] {
    record.Write("new-0 is back");
    fresh->Start();
    world.Register(*fresh, "ready");
  });
  if (!world.Run(base::Millis(19000))) {
    record.Write("the nodes did not become ready");
    return 2;
  }
  int mixed = 0;
  int takenUp = 0;
  for (const auto& client : clients) {
    const StreamResult& result = client->Result();
    takenUp += result.m_tries.size() > 1 && !result.m_tries[1].m_lastEvent.empty() ? 1 : 0;
    if (result.m_versions.size() > 1) {
      ++mixed;
      record.Write("stream " + result.m_tries.front().m_id +
                   " holds events of two versions: begun at " + result.m_tries.front().m_node +
                   ", taken up at " + result.m_tries.back().m_node);
    }
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
