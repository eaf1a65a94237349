#include "adapters/platform/KeyValueClient.h"

#include "base/Json.h"

#include <charconv>

namespace papayafield::adapters::platform {

namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr char kVersionHeader[] = "X-Version";

using FetchResult = tl::expected<http::HttpResponse, http::TransferFault>;

uint64_t ParseVersion(const http::HttpResponse& aResponse) {
  const std::string text = aResponse.m_headers.Find(kVersionHeader).value_or("0");
  uint64_t version = 0;
  std::from_chars(text.data(), text.data() + text.size(), version);
  return version;
}

/// Maps a failed transfer to the fault of a call that may write: ambiguous if the request may have
/// reached the service.
KeyValueFault ToFault(http::TransferFault aFault) {
  return http::NothingSent(aFault) ? KeyValueFault::Unavailable : KeyValueFault::Ambiguous;
}

KeyValueClient::ReadResult ToReadResult(const std::string& aKey, const FetchResult& aResponse) {
  if (!aResponse) {
    return tl::unexpected(ToFault(aResponse.error()));
  }
  if (aResponse->m_status == kNotFound) {
    return KeyValueEntry{ aKey, "", 0 };
  }
  if (aResponse->m_status != kOk) {
    return tl::unexpected(KeyValueFault::Unavailable);
  }
  return KeyValueEntry{ aKey, aResponse->m_body, ParseVersion(*aResponse) };
}

KeyValueClient::SwapResult ToSwapResult(const FetchResult& aResponse) {
  if (!aResponse) {
    return tl::unexpected(ToFault(aResponse.error()));
  }
  if (aResponse->m_status == kConflict) {
    return tl::unexpected(KeyValueFault::Conflict);
  }
  if (aResponse->m_status != kOk) {
    return tl::unexpected(KeyValueFault::Unavailable);
  }
  return ParseVersion(*aResponse);
}

} // namespace

KeyValueClient::KeyValueClient(http::HttpClient& aClient,
                               base::Address aService,
                               base::Millis aTimeout)
  : m_client(aClient)
  , m_serviceAddress(std::move(aService))
  , m_timeout(aTimeout) {}

http::HttpRequest KeyValueClient::MakeRequest(std::string aMethod, std::string aTarget) {
  ++m_callCount;
  http::HttpRequest request;
  request.m_to = m_serviceAddress;
  request.m_method = std::move(aMethod);
  request.m_target = std::move(aTarget);
  request.m_connectTimeout = m_timeout;
  request.m_idleTimeout = m_timeout;
  request.m_totalTimeout = m_timeout;
  return request;
}

void KeyValueClient::Read(const std::string& aKey, std::function<void(ReadResult)> aOnDone) {
  m_client.Fetch(MakeRequest("GET", "/kv/" + aKey),
                 [aKey, aOnDone = std::move(aOnDone)](const FetchResult& aResponse) {
                   aOnDone(ToReadResult(aKey, aResponse));
                 });
}

void KeyValueClient::Watch(const std::string& aKey,
                           uint64_t aVersion,
                           base::Millis aWait,
                           std::function<void(ReadResult)> aOnDone) {
  http::HttpRequest request = MakeRequest("GET",
                                          "/kv/" + aKey + "?after=" + std::to_string(aVersion) +
                                            "&wait_ms=" + std::to_string(aWait.count()));
  request.m_idleTimeout = aWait + m_timeout;
  request.m_totalTimeout = aWait + m_timeout;
  m_client.Fetch(std::move(request),
                 [aKey, aOnDone = std::move(aOnDone)](const FetchResult& aResponse) {
                   aOnDone(ToReadResult(aKey, aResponse));
                 });
}

void KeyValueClient::List(
  const std::string& aPrefix,
  std::function<void(tl::expected<std::vector<KeyValueEntry>, KeyValueFault>)> aOnDone) {
  m_client.Fetch(MakeRequest("GET", "/list?prefix=" + aPrefix),
                 [aOnDone = std::move(aOnDone)](const FetchResult& aResponse) {
                   const auto list = aResponse && aResponse->m_status == kOk
                                       ? base::ParseJson(aResponse->m_body)
                                       : nlohmann::json();
                   if (!list.is_array()) {
                     aOnDone(tl::unexpected(KeyValueFault::Unavailable));
                     return;
                   }
                   std::vector<KeyValueEntry> entries;
                   for (const auto& item : list) {
                     entries.push_back({ base::ValueOr(item, "key", std::string()),
                                         base::ValueOr(item, "value", std::string()),
                                         base::ValueOr(item, "version", uint64_t{ 0 }) });
                   }
                   aOnDone(std::move(entries));
                 });
}

void KeyValueClient::CompareAndSwap(const std::string& aKey,
                                    std::string aValue,
                                    uint64_t aExpectedVersion,
                                    const std::string& aLease,
                                    std::function<void(SwapResult)> aOnDone) {
  std::string target = "/kv/" + aKey + "?expect=" + std::to_string(aExpectedVersion);
  if (!aLease.empty()) {
    target += "&lease=" + aLease;
  }
  http::HttpRequest request = MakeRequest("PUT", std::move(target));
  request.m_body = std::move(aValue);
  m_client.Fetch(std::move(request), [aOnDone = std::move(aOnDone)](const FetchResult& aResponse) {
    aOnDone(ToSwapResult(aResponse));
  });
}

void KeyValueClient::Remove(const std::string& aKey,
                            uint64_t aExpectedVersion,
                            std::function<void(SwapResult)> aOnDone) {
  m_client.Fetch(
    MakeRequest("DELETE", "/kv/" + aKey + "?expect=" + std::to_string(aExpectedVersion)),
    [aOnDone = std::move(aOnDone)](const FetchResult& aResponse) {
      aOnDone(ToSwapResult(aResponse));
    });
}

void KeyValueClient::GrantLease(base::Millis aDuration,
                                std::function<void(std::optional<std::string>)> aOnDone) {
  m_client.Fetch(MakeRequest("POST", "/leases?ttl_ms=" + std::to_string(aDuration.count())),
                 [aOnDone = std::move(aOnDone)](const FetchResult& aResponse) {
                   if (aResponse && aResponse->m_status == kOk && !aResponse->m_body.empty()) {
                     aOnDone(aResponse->m_body);
                   } else {
                     aOnDone(std::nullopt);
                   }
                 });
}

void KeyValueClient::RenewLease(const std::string& aLease, std::function<void(bool)> aOnDone) {
  m_client.Fetch(MakeRequest("POST", "/leases/" + aLease),
                 [aOnDone = std::move(aOnDone)](const FetchResult& aResponse) {
                   aOnDone(aResponse && aResponse->m_status == kOk);
                 });
}

} // namespace papayafield::adapters::platform
