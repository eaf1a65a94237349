#include "forwarding/RelayTarget.h"

#include "adapters/http1/Head.h"

#include <charconv>

namespace papayafield::forwarding {

namespace {

constexpr char kSeparator = '@';

} // namespace

std::string RelayTarget(const fleet::Incarnation& aEndpoint) {
  return adapters::http1::PercentEncode(aEndpoint.m_endpoint.Text()) + kSeparator +
         std::to_string(aEndpoint.m_startMs);
}

std::optional<fleet::Incarnation> ParseRelayTarget(std::string_view aTarget) {
  const size_t separator = aTarget.rfind(kSeparator);
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  fleet::Incarnation incarnation;
  const std::string_view start = aTarget.substr(separator + 1);
  const auto [end, error] =
    std::from_chars(start.data(), start.data() + start.size(), incarnation.m_startMs);
  if (error != std::errc() || end != start.data() + start.size()) {
    return std::nullopt;
  }
  const std::string query = "?id=" + std::string(aTarget.substr(0, separator));
  incarnation.m_endpoint = base::EndpointId(adapters::http1::QueryParameter(query, "id"));
  return incarnation.m_endpoint.Empty() ? std::nullopt : std::optional(incarnation);
}

} // namespace papayafield::forwarding
