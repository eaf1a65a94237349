#include "soak/PlannedWork.h"

#include <algorithm>
#include <array>
#include <csignal>

namespace papayafield::soak {

namespace {

constexpr base::Millis kCheckInterval{ 20 };
/// SIGHUP ends a process that has not reached main() yet.
constexpr base::Millis kLaunchTime{ 1000 };
/// Time for which callers may use the address of a node that was told to stop.
constexpr base::Millis kAddressUseTime{ 2000 };
/// Idle timeouts for callers that the configurations apply in random order.
constexpr std::array<base::Millis, 4> kIdleTimeouts = { base::Millis(400),
                                                        base::Millis(1500),
                                                        base::Millis(5000),
                                                        base::Millis(30000) };
constexpr std::array<const char*, 3> kItemNames = { "term_node_", "hup_node_", "configure_" };

} // namespace

PlannedWork::PlannedWork(tests::PlatformFleet& aFleet,
                         adapters::http::EventLoop& aLoop,
                         size_t aNodes,
                         uint64_t aSeed)
  : m_fleet(aFleet)
  , m_loop(aLoop)
  , m_nodes(aNodes)
  , m_random(aSeed)
  , m_launchTimes(aNodes)
  , m_checkTimer(aLoop.Every(kCheckInterval, [this] { CheckStops(); })) {}

std::string PlannedWork::Schedule(base::Millis aDuration) {
  std::string summary;
  const size_t count = 1 + RandomIndex(3);
  for (size_t i = 0; i < count; ++i) {
    const size_t item = RandomIndex(kItemNames.size());
    const size_t node = RandomIndex(m_nodes);
    const base::Millis delay(RandomIndex(static_cast<size_t>(aDuration.count())));
    summary += std::string(" ") + kItemNames[item] + std::to_string(node) + "@" +
               std::to_string(delay.count());
    m_timers.push_back(m_loop.After(delay, [this, item, node] { StartItem(item, node); }));
  }
  return summary;
}

void PlannedWork::StartItem(size_t aItem, size_t aNode) {
  switch (aItem) {
    case 0:
      Restart(aNode);
      break;
    case 1:
      Reload(aNode);
      break;
    default:
      Configure();
      break;
  }
}

void PlannedWork::Restart(size_t aNode) {
  const auto stopping = static_cast<size_t>(std::count_if(
    m_stops.begin(), m_stops.end(), [](const PlannedStop& aStop) { return !aStop.m_end; }));
  // One node stays, so that calls can always be served.
  if (IsStopping(aNode) || stopping + 1 >= m_nodes) {
    return;
  }
  m_stops.push_back({ aNode, m_fleet.CallerAddress(aNode), base::BootNow(), std::nullopt, false });
  m_fleet.NodeProcess(aNode).Signal(SIGTERM);
}

void PlannedWork::Reload(size_t aNode) {
  const auto& launched = m_launchTimes[aNode];
  if (!launched || base::BootNow() >= *launched + kLaunchTime) {
    m_fleet.NodeProcess(aNode).Signal(SIGHUP);
  }
}

void PlannedWork::Configure() {
  m_idleTimeout = kIdleTimeouts[RandomIndex(kIdleTimeouts.size())];
  WriteConfiguration();
}

void PlannedWork::ChangeStreamTimeout(base::Millis aTimeout) {
  m_streamTimeout = aTimeout;
  WriteConfiguration();
}

void PlannedWork::WriteConfiguration() {
  tests::ConfigurationOptions options;
  options.m_hosts = { "h.example", HostOf(++m_configurationCount) };
  options.m_idleTimeout = m_idleTimeout;
  options.m_streamTimeout = m_streamTimeout;
  m_fleet.ApplyConfiguration(options);
}

void PlannedWork::EnsureRunning(size_t aNode) {
  if (!IsStopping(aNode) && !m_fleet.NodeProcess(aNode).IsRunning()) {
    Launch(aNode);
  }
}

void PlannedWork::Launch(size_t aNode) {
  m_launchTimes[aNode] = base::BootNow();
  m_launches.push_back({ m_fleet.CallerAddress(aNode), base::BootNow() });
  m_fleet.LaunchNode(aNode);
}

bool PlannedWork::IsSettled() const {
  return std::all_of(m_stops.begin(), m_stops.end(), [](const PlannedStop& aStop) {
    return aStop.m_end.has_value();
  });
}

std::vector<base::Address> PlannedWork::CallerAddresses() const {
  const auto now = base::BootNow();
  std::vector<base::Address> addresses;
  for (size_t node = 0; node < m_nodes; ++node) {
    const PlannedStop* stop = CurrentStop(node);
    if (stop == nullptr || now < stop->m_start + kAddressUseTime) {
      addresses.push_back(m_fleet.CallerAddress(node));
    }
  }
  return addresses;
}

const PlannedStop* PlannedWork::CurrentStop(size_t aNode) const {
  const auto found =
    std::find_if(m_stops.begin(), m_stops.end(), [aNode](const PlannedStop& aStop) {
      return aStop.m_node == aNode && !aStop.m_end;
    });
  return found == m_stops.end() ? nullptr : &*found;
}

void PlannedWork::CheckStops() {
  const auto now = base::BootNow();
  for (PlannedStop& stop : m_stops) {
    if (stop.m_end) {
      continue;
    }
    tests::Process& process = m_fleet.NodeProcess(stop.m_node);
    if (process.IsRunning() && now >= stop.m_start + kGracePeriod) {
      stop.m_killed = true;
      process.Kill();
    }
    if (!process.IsRunning()) {
      stop.m_end = now;
      Launch(stop.m_node);
    }
  }
}

} // namespace papayafield::soak
