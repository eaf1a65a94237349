#include "gateway/Problem.h"

#include "base/Json.h"

#include <algorithm>

namespace papayafield::gateway {

std::string ToJson(const Problem& aProblem) {
  nlohmann::json body = { { "type", "about:blank" },
                          { "title", aProblem.m_title },
                          { "status", aProblem.m_status },
                          { "outcome", base::NameOf(aProblem.m_outcome) } };
  if (!aProblem.m_detail.empty()) {
    body["detail"] = aProblem.m_detail;
  }
  return base::DumpJson(body);
}

void Reply(adapters::http::ServerExchange& aExchange, const Problem& aProblem) {
  adapters::http::Headers headers{ { "Content-Type", "application/problem+json" },
                                   { "X-Outcome", std::string(base::NameOf(aProblem.m_outcome)) } };
  if (aProblem.m_retryAfter) {
    // Retry-After takes whole seconds; round up, to at least 1.
    constexpr int kMillisPerSecond = 1000;
    const auto seconds = (aProblem.m_retryAfter->count() + kMillisPerSecond - 1) / kMillisPerSecond;
    headers.Add("Retry-After", std::to_string(std::max<int64_t>(1, seconds)));
  }
  aExchange.Reply(aProblem.m_status, headers, ToJson(aProblem));
}

} // namespace papayafield::gateway
