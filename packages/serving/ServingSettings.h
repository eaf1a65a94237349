#pragma once

#include "base/Ids.h"
#include "base/Time.h"
#include "forwarding/NodeState.h"

#include <string>
#include <vector>

namespace papayafield::serving {

/// Where a node serves, and the bounds it keeps.
struct ServingSettings {
  base::NodeId m_node;
  base::ZoneId m_zone;
  /// IP number of this host.
  std::string m_host;
  /// Where callers connect.
  base::Address m_callers;
  /// Port of the datagrams between nodes, the same on all hosts.
  uint16_t m_newsPort = 0;
  /// Port at which nodes give one another what they know of the store, the same on all hosts.
  uint16_t m_imagePort = 0;
  /// Hosts of some nodes, to find the others by.
  std::vector<std::string> m_seeds;
  /// Time that the platform gives a process between SIGTERM and SIGKILL.
  base::Millis m_grace{ 8000 };
  /// How long callers keep the addresses that they were told.
  base::Millis m_entriesKept{ 1000 };
  /// How long the duties stay with a holder that no longer renews.
  base::Millis m_dutyTerm{ 3000 };
  forwarding::RetryLimits m_retries;
  quota::QuotaTolerance m_quotaTolerance;
  /// Length of a usage window, in milliseconds.
  int64_t m_usageWindowMs = 5000;
  /// Time after a window's end at which its report is due.
  base::Millis m_usageLate{ 10000 };
  /// Whether there are usage reports and orders to make.
  bool m_reportsUsage = false;
  bool m_scales = false;
};

/// Keys of the store.
struct KeySettings {
  /// The operators' configuration.
  std::string m_configuration;
  /// Registrations of endpoints, each under its id.
  std::string m_endpoints;
  /// This product's own keys.
  std::string m_own;
};

} // namespace papayafield::serving
