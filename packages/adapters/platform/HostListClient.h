#pragma once

#include "adapters/http/HttpClient.h"
#include "routing/Endpoint.h"

#include <functional>
#include <optional>
#include <vector>

namespace papayafield::adapters::platform {

/// Reads the cloud's lagging list of live and leaving hosts over HTTP. Belongs to the thread of its
/// client.
class HostListClient {
public:
  /// Reads from the cloud at `aCloud`; each call takes at most `aTimeout`.
  HostListClient(http::HttpClient& aClient, base::Address aCloud, base::Millis aTimeout);

  /// Reads the list of endpoint hosts; nothing on failure or when it has not changed since the last
  /// read.
  void Read(std::function<void(std::optional<std::vector<routing::EndpointInfo>>)> aOnDone);

private:
  http::HttpClient& m_client;
  base::Address m_cloud;
  base::Millis m_timeout;
  /// The tag that the last list came with.
  std::string m_tag;
};

} // namespace papayafield::adapters::platform
