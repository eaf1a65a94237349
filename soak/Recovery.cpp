#include "soak/Recovery.h"

namespace papayafield::soak {

namespace {

constexpr base::Millis kCheckInterval{ 50 };

} // namespace

void RunFor(adapters::http::EventLoop& aLoop, base::Millis aDuration) {
  const auto timer = aLoop.After(aDuration, [&] { aLoop.Stop(); });
  aLoop.Run();
}

void RunUntil(adapters::http::EventLoop& aLoop,
              base::Millis aMaxDuration,
              const std::function<bool()>& aCondition) {
  const auto timer = aLoop.Every(kCheckInterval, [&] {
    if (aCondition()) {
      aLoop.Stop();
    }
  });
  RunFor(aLoop, aMaxDuration);
}

bool AllNodesRecover(tests::PlatformFleet& aFleet, size_t aNodes) {
  for (size_t node = 0; node < aNodes; ++node) {
    const bool nodeRecovered = tests::PlatformFleet::WaitUntil([&] {
      return aFleet.IsReady(node) && aFleet.Send(node, "GET", "/safe/end").m_status == 200;
    });
    if (!nodeRecovered) {
      return false;
    }
  }
  return true;
}

bool OneNodeLeads(tests::PlatformFleet& aFleet, size_t aNodes) {
  return tests::PlatformFleet::WaitUntil([&] {
    double leaders = 0;
    for (size_t node = 0; node < aNodes; ++node) {
      leaders += aFleet.ReadMetric(node, "holds_duties");
    }
    return leaders == 1;
  });
}

} // namespace papayafield::soak
