#pragma once

#include "base/Time.h"

#include <string>
#include <vector>

/// \file
/// What nodes tell one another about prompt parts that may crash engines. Times are ages, since the
/// clocks of nodes differ.

namespace papayafield::quarantine {

/// An endpoint that was lost while it began to answer a call.
struct CrashReport {
  /// Digest of the endpoint's identifier.
  std::string m_endpoint;
  /// Digest of the call's identifier; together with the endpoint, it identifies the report.
  std::string m_call;
  /// Keys of the prompt parts that may have caused the loss, without those of this call alone.
  std::vector<std::string> m_parts;
  /// Time since the loss.
  base::Millis m_age{ 0 };
};

/// The latest answer with a prompt part that the reporting node itself received.
struct SuccessReport {
  std::string m_part;
  /// Time since the answer began.
  base::Millis m_age{ 0 };
};

/// A ban that is in force.
struct BanReport {
  std::string m_part;
  /// Number of bans of this part in succession, this one included.
  int m_level = 1;
  /// Time since the ban began.
  base::Millis m_age{ 0 };
  /// Time until it ends.
  base::Millis m_remaining{ 0 };
};

/// The part of a node's view that its peers need.
struct Report {
  std::vector<CrashReport> m_crashes;
  std::vector<SuccessReport> m_successes;
  std::vector<BanReport> m_bans;

  bool Empty() const { return m_crashes.empty() && m_successes.empty() && m_bans.empty(); }
};

} // namespace papayafield::quarantine
