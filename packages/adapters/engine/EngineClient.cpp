#include "adapters/engine/EngineClient.h"

#include "adapters/engine/TransferFaults.h"
#include "base/Json.h"

#include <charconv>

namespace papayafield::adapters::engine {

namespace {

using http::TransferFault;
using requests::Fault;

constexpr int kOk = 200;
constexpr int kNotFound = 404;

std::optional<uint64_t> ParseNumber(const std::string& aText) {
  uint64_t number = 0;
  const auto [parsedEnd, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || parsedEnd != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

/// Parses the response of one stream and calls its callbacks.
struct StreamReader {
  StreamEvents m_events;
  std::string m_stream;
  requests::SseReader m_sseReader;
  std::weak_ptr<http::Transfer> m_transfer;
  int m_status = 0;
  bool m_notStarted = false;
  bool m_isMisdirected = false;
  bool m_sawTokens = false;
  bool m_hasEnded = false;

  void End() {
    if (!std::exchange(m_hasEnded, true)) {
      http::CancelTransfer(m_transfer);
      m_events.m_onEnd();
    }
  }

  void Supersede() {
    if (!std::exchange(m_hasEnded, true)) {
      http::CancelTransfer(m_transfer);
      m_events.m_onSuperseded();
    }
  }

  void Fail(Fault aFault) {
    if (!std::exchange(m_hasEnded, true)) {
      http::CancelTransfer(m_transfer);
      m_events.m_onFault(aFault);
    }
  }

  void OnHead(int aStatus, const http::Headers& aHeaders) {
    m_status = aStatus;
    m_notStarted = aHeaders.Find("X-Not-Started").has_value() || aStatus == kNotFound;
    // An engine returns the id of the stream; another id means that the answer belongs to another
    // request.
    const auto stream = aHeaders.Find("X-Stream-Id");
    m_isMisdirected = aStatus == kOk && stream != m_stream;
  }

  void OnData(std::string_view aPart) {
    if (m_status != kOk || m_hasEnded) {
      return;
    }
    if (m_isMisdirected) {
      Fail(Fault::MisdirectedAnswer);
      return;
    }
    std::vector<StreamToken> tokens;
    bool done = false;
    for (requests::SseEvent& event : m_sseReader.Feed(aPart)) {
      if (event.m_type == "superseded") {
        Supersede();
        return;
      }
      if (event.m_data == "[DONE]") {
        done = true;
        break;
      }
      if (const auto offset = ParseNumber(event.m_id)) {
        tokens.push_back({ *offset, std::move(event.m_data) });
      }
    }
    if (!tokens.empty()) {
      m_sawTokens = true;
      m_events.m_onTokens(std::move(tokens));
    }
    if (done) {
      End();
    } else if (m_sseReader.HasOverflowed()) {
      Fail(Fault::ServerError);
    }
  }

  void OnTransferEnd() {
    // A transfer that ends without the end marker of the stream means that the stream is truncated.
    if (m_status == kOk) {
      Fail(m_isMisdirected ? Fault::MisdirectedAnswer : Fault::ResetInAnswer);
    } else if (m_notStarted) {
      Fail(Fault::NotStarted);
    } else {
      Fail(Fault::ServerError);
    }
  }
};

} // namespace

EngineClient::EngineClient(http::HttpClient& aClient, EngineClientSettings aSettings)
  : m_client(aClient)
  , m_settings(aSettings) {}

http::HttpRequest EngineClient::MakeRequest(const base::Address& aEngine,
                                            std::string aMethod,
                                            std::string aTarget) {
  http::HttpRequest request;
  request.m_to = aEngine;
  request.m_method = std::move(aMethod);
  request.m_target = std::move(aTarget);
  request.m_connectTimeout = m_settings.m_connectTimeout;
  request.m_idleTimeout = m_settings.m_streamIdleTimeout;
  return request;
}

EngineClient::Handle EngineClient::OpenStream(http::HttpRequest aRequest,
                                              const std::string& aStream,
                                              StreamEvents aEvents) {
  auto reader = std::make_shared<StreamReader>();
  reader->m_events = std::move(aEvents);
  reader->m_stream = aStream;
  aRequest.m_maxBodyBytes = 0;
  http::TransferEvents events;
  events.m_onHead = [reader](int aStatus, const http::Headers& aHeaders) {
    reader->OnHead(aStatus, aHeaders);
  };
  events.m_onData = [reader](std::string_view aPart) { reader->OnData(aPart); };
  events.m_onEnd = [reader] { reader->OnTransferEnd(); };
  events.m_onFault = [reader](TransferFault aFault) {
    reader->Fail(FaultOf(aFault, reader->m_sawTokens));
  };
  reader->m_transfer = m_client.Start(std::move(aRequest), std::move(events));
  return reader->m_transfer;
}

namespace {

std::string GenerationBody(const GenerationRequest& aCall) {
  nlohmann::json body = *aCall.m_body;
  body["stream"] = true;
  body["stream_id"] = aCall.m_stream;
  body["priority"] = aCall.m_priority;
  body["start_at"] = aCall.m_startAt;
  body["text_so_far"] = aCall.m_textSoFar;
  if (!aCall.m_kvState.empty()) {
    body["kv_state"] = aCall.m_kvState;
  }
  return base::DumpJson(body);
}

} // namespace

EngineClient::Handle EngineClient::Start(const GenerationRequest& aCall, StreamEvents aEvents) {
  http::HttpRequest request = MakeRequest(aCall.m_engine, "POST", aCall.m_path);
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = GenerationBody(aCall);
  return OpenStream(std::move(request), aCall.m_stream, std::move(aEvents));
}

EngineClient::Handle EngineClient::Resume(const base::Address& aEngine,
                                          const std::string& aStream,
                                          uint64_t aOffset,
                                          StreamEvents aEvents) {
  return OpenStream(
    MakeRequest(aEngine, "GET", "/streams/" + aStream + "?from=" + std::to_string(aOffset)),
    aStream,
    std::move(aEvents));
}

void EngineClient::ExportStream(const base::Address& aEngine,
                                const std::string& aStream,
                                base::Millis aTimeout,
                                std::function<void(std::string aState)> aOnDone) {
  http::HttpRequest request = MakeRequest(aEngine, "POST", "/streams/" + aStream + "/export");
  request.m_totalTimeout = aTimeout;
  m_client.Fetch(std::move(request), [aOnDone = std::move(aOnDone)](auto aAnswer) {
    aOnDone(aAnswer && aAnswer->m_status == kOk ? aAnswer->m_body : std::string());
  });
}

void EngineClient::Cancel(const base::Address& aEngine,
                          const std::string& aStream,
                          bool aOnlyUnread) {
  http::HttpRequest request =
    MakeRequest(aEngine, "DELETE", "/streams/" + aStream + (aOnlyUnread ? "?unread=1" : ""));
  request.m_totalTimeout = m_settings.m_callTimeout;
  m_client.Fetch(std::move(request), [](const auto&) {});
}

void EngineClient::FetchLoad(const base::Address& aEngine,
                             std::function<void(std::optional<routing::EngineLoad>)> aOnDone) {
  http::HttpRequest request = MakeRequest(aEngine, "GET", "/load");
  request.m_totalTimeout = m_settings.m_callTimeout;
  m_client.Fetch(std::move(request), [aOnDone = std::move(aOnDone)](auto aAnswer) {
    if (!aAnswer || aAnswer->m_status != kOk) {
      aOnDone(std::nullopt);
      return;
    }
    const auto report = base::ParseJson(aAnswer->m_body);
    if (!report.is_object()) {
      aOnDone(std::nullopt);
      return;
    }
    routing::EngineLoad load;
    load.m_running = base::ValueOr(report, "running", 0U);
    load.m_queued = base::ValueOr(report, "queued", 0U);
    load.m_slots = std::max(1U, base::ValueOr(report, "slots", 1U));
    load.m_queuedPrefillTokens = base::ValueOr(report, "queued_prefill_tokens", uint64_t{ 0 });
    load.m_prefillRate = std::max(1.0, base::ValueOr(report, "prefill_rate", 1.0));
    load.m_leaving = base::ValueOr(report, "leaving", false);
    load.m_asOf = base::SteadyClock().Now() - base::Millis(base::ValueOr(report, "age_ms", 0));
    aOnDone(load);
  });
}

void EngineClient::FetchEvictions(const base::Address& aEngine,
                                  uint64_t aFrom,
                                  std::function<void(std::optional<CacheEventBatch>)> aOnDone) {
  http::HttpRequest request =
    MakeRequest(aEngine, "GET", "/cache/events?evicted=1&from=" + std::to_string(aFrom));
  request.m_totalTimeout = m_settings.m_callTimeout;
  m_client.Fetch(std::move(request), [aFrom, aOnDone = std::move(aOnDone)](auto aAnswer) {
    const auto report =
      aAnswer && aAnswer->m_status == kOk ? base::ParseJson(aAnswer->m_body) : nlohmann::json();
    if (!report.is_object() || !report.contains("events") || !report["events"].is_array()) {
      aOnDone(std::nullopt);
      return;
    }
    CacheEventBatch events;
    events.m_next = base::ValueOr(report, "next", aFrom);
    events.m_hasGap = base::ValueOr(report, "first", aFrom) > aFrom;
    for (const auto& item : report["events"]) {
      events.m_events.push_back(
        { base::ValueOr(item, "block", uint64_t{ 0 }), base::ValueOr(item, "evicted", false) });
    }
    aOnDone(std::move(events));
  });
}

namespace {

/// Returns the string after `aKey` if `aKey` occurs exactly once in `aData` and the string has no
/// escapes; nullopt otherwise.
std::optional<std::string_view> FindUnescapedString(std::string_view aData, std::string_view aKey) {
  const size_t key = aData.find(aKey);
  if (key == std::string_view::npos || aData.find(aKey, key + 1) != std::string_view::npos) {
    return std::nullopt;
  }
  const size_t start = key + aKey.size();
  const size_t end = aData.find_first_of("\"\\", start);
  if (end == std::string_view::npos || aData[end] != '"') {
    return std::nullopt;
  }
  return aData.substr(start, end - start);
}

std::string ParseTokenText(const std::string& aData) {
  const auto event = base::ParseJson(aData);
  if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array() ||
      event["choices"].empty() || !event["choices"][0].is_object()) {
    return {};
  }
  const auto& choice = event["choices"][0];
  const auto delta = choice.find("delta");
  if (delta != choice.end() && delta->is_object()) {
    return base::ValueOr(*delta, "content", std::string());
  }
  return base::ValueOr(choice, "text", std::string());
}

} // namespace

std::string TokenText(const std::string& aData) {
  // Most token events contain one string without escapes under one key, which needs no JSON
  // parsing.
  if (aData.find("\"logprobs\"") == std::string::npos) {
    if (const auto text = FindUnescapedString(aData, "\"delta\":{\"content\":\"")) {
      return std::string(*text);
    }
    if (aData.find("\"delta\"") == std::string::npos) {
      if (const auto text = FindUnescapedString(aData, "\"text\":\"")) {
        return std::string(*text);
      }
    }
  }
  return ParseTokenText(aData);
}

} // namespace papayafield::adapters::engine
