#pragma once

#include "adapters/http/HttpClient.h"
#include "routing/Endpoint.h"

#include <functional>
#include <optional>
#include <vector>

namespace papayafield::adapters::platform {

/// Reads the cloud's list of live and leaving hosts over HTTP; the list lags behind the actual
/// state. Not thread safe: use it on the thread of its HTTP client only.
class HostListClient {
public:
  /// Reads from the cloud API at `aCloud`; `aTimeout` bounds each call.
  HostListClient(http::HttpClient& aClient, base::Address aCloud, base::Millis aTimeout);

  /// Reads the list of endpoint hosts. Passes nullopt to `aOnDone` on failure, or if the list has
  /// not changed since the last read.
  void Read(std::function<void(std::optional<std::vector<routing::EndpointInfo>>)> aOnDone);

private:
  http::HttpClient& m_client;
  base::Address m_cloudAddress;
  base::Millis m_timeout;
  /// `ETag` of the last list read; empty before the first read.
  std::string m_etag;
};

} // namespace papayafield::adapters::platform
