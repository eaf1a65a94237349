#include "adapters/platform/HostListClient.h"

#include "base/Json.h"

namespace papayafield::adapters::platform {

namespace {

constexpr int kOk = 200;

routing::EndpointInfo ToEndpoint(const nlohmann::json& aHost) {
  using base::ValueOr;
  routing::EndpointInfo info;
  info.m_id = base::EndpointId(ValueOr(aHost, "name", std::string()));
  info.m_address = base::Address::Parse(ValueOr(aHost, "address", std::string()));
  info.m_zone = base::ZoneId(ValueOr(aHost, "zone", std::string()));
  info.m_class = ValueOr(aHost, "class", std::string());
  info.m_centsPerHour = ValueOr(aHost, "cents_per_hour", 0.0);
  info.m_kind = base::ParseEnum<routing::EndpointKind>(ValueOr(aHost, "kind", std::string()))
                  .value_or(routing::EndpointKind::Engine);
  info.m_deployment = base::DeploymentId(ValueOr(aHost, "runs", std::string()));
  info.m_state = base::ParseEnum<routing::EndpointState>(ValueOr(aHost, "state", std::string()))
                   .value_or(routing::EndpointState::Live);
  info.m_leavesAtMs = ValueOr(aHost, "leaves_at_ms", int64_t{ 0 });
  return info;
}

} // namespace

HostListClient::HostListClient(http::HttpClient& aClient,
                               base::Address aCloud,
                               base::Millis aTimeout)
  : m_client(aClient)
  , m_cloudAddress(std::move(aCloud))
  , m_timeout(aTimeout) {}

void HostListClient::Read(
  std::function<void(std::optional<std::vector<routing::EndpointInfo>>)> aOnDone) {
  http::HttpRequest request;
  request.m_to = m_cloudAddress;
  request.m_target = "/hosts";
  request.m_connectTimeout = m_timeout;
  request.m_idleTimeout = m_timeout;
  request.m_totalTimeout = m_timeout;
  if (!m_etag.empty()) {
    request.m_headers.Add("If-None-Match", m_etag);
  }
  m_client.Fetch(std::move(request), [this, aOnDone = std::move(aOnDone)](const auto& aResponse) {
    const auto list = aResponse && aResponse->m_status == kOk ? base::ParseJson(aResponse->m_body)
                                                              : nlohmann::json();
    if (!list.is_array()) {
      aOnDone(std::nullopt);
      return;
    }
    m_etag = aResponse->m_headers.Find("ETag").value_or("");
    std::vector<routing::EndpointInfo> endpoints;
    for (const auto& item : list) {
      routing::EndpointInfo info = ToEndpoint(item);
      // Requests cannot be routed to a host without a name or an address.
      if (!info.m_id.Empty() && info.m_address.m_port != 0) {
        endpoints.push_back(std::move(info));
      }
    }
    aOnDone(std::move(endpoints));
  });
}

} // namespace papayafield::adapters::platform
