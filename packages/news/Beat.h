#pragma once

#include "base/Ids.h"
#include "duties/UsageLedger.h"
#include "placement/Placement.h"
#include "quota/QuotaLedger.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace papayafield::news {

/// Where a node can be reached by other nodes.
struct Contact {
  base::NodeId m_node;
  /// Unix milliseconds of the process's start; a later life has a greater one.
  int64_t m_born = 0;
  /// IP number; the ports are the same on all hosts.
  std::string m_host;

  /// Names this life of the node.
  std::string Life() const { return m_node.Text() + '@' + std::to_string(m_born); }
};

/// What a node tells the others several times a second. A beat says all there is to know, so a lost
/// one does no harm.
struct Beat {
  Contact m_from;
  base::ZoneId m_zone;
  /// Whether callers may be sent to it.
  bool m_ready = false;
  /// Whether it is shutting down.
  bool m_stopping = false;
  /// Whether the store answers it.
  bool m_storeAnswers = false;
  int64_t m_configuration = 0;
  /// The last change of the store that it knows.
  uint64_t m_revision = 0;
  /// Engine work asked for since its start, in engine milliseconds.
  double m_workAsked = 0;
  /// Its own calls under way.
  std::map<base::EndpointId, placement::Load> m_loads;
  /// Its view of the teams' quotas.
  quota::QuotaLedger::View m_quota;
  /// Its own usage counts of the latest windows.
  duties::UsageLedger::Windows m_usage;
  /// Some nodes that it knows, so that news of nodes spreads without the store.
  std::vector<Contact> m_contacts;
};

} // namespace papayafield::news
