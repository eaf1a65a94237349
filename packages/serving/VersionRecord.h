#pragma once

#include "base/Time.h"
#include "fleet/VersionHistory.h"

#include <string>

namespace papayafield::serving {

/// What the nodes keep in the store on the software versions that served lately.
struct VersionRecord {
  fleet::VersionHistory::Versions m_versions;
  /// Longest time for which streams that began until the record was written may be resumed.
  base::Millis m_streamLifetime{ 0 };

  bool operator==(const VersionRecord&) const = default;
};

/// Encodes the record as a JSON object that earlier releases read as well. A service whose name is
/// that of a member of the record is unknown to them. Thread safe.
std::string EncodeVersionRecord(const VersionRecord& aRecord);

/// Decodes a record; also one that earlier releases wrote, which has the versions of each service
/// at its top level. Leaves out what is malformed. Thread safe.
VersionRecord DecodeVersionRecord(const std::string& aData);

} // namespace papayafield::serving
