#include "adapters/engine/EngineClient.h"

#include "adapters/engine/TransferFaults.h"
#include "base/Json.h"

#include <charconv>

namespace papayafield::adapters::engine {

namespace {

using http::TransferFault;
using requests::Fault;

constexpr int kOk = 200;
constexpr int kGone = 404;

std::optional<uint64_t> ParseNumber(const std::string& aText) {
  uint64_t number = 0;
  const auto [stop, fault] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (fault != std::errc() || stop != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

/// Reads one stream and reports on it.
struct StreamReader {
  StreamEvents m_events;
  std::string m_stream;
  requests::SseReader m_reader;
  std::weak_ptr<http::Transfer> m_transfer;
  int m_status = 0;
  bool m_notStarted = false;
  bool m_crossed = false;
  bool m_sawTokens = false;
  bool m_over = false;

  void End() {
    if (!std::exchange(m_over, true)) {
      http::CancelTransfer(m_transfer);
      m_events.m_onEnd();
    }
  }

  void Supersede() {
    if (!std::exchange(m_over, true)) {
      http::CancelTransfer(m_transfer);
      m_events.m_onSuperseded();
    }
  }

  void Fail(Fault aFault) {
    if (!std::exchange(m_over, true)) {
      http::CancelTransfer(m_transfer);
      m_events.m_onFault(aFault);
    }
  }

  void Head(int aStatus, const http::Headers& aHeaders) {
    m_status = aStatus;
    m_notStarted = aHeaders.Find("X-Not-Started").has_value() || aStatus == kGone;
    // An engine names the stream that it answers; another name is the answer to another request.
    const auto stream = aHeaders.Find("X-Stream-Id");
    m_crossed = aStatus == kOk && stream != m_stream;
  }

  void Data(std::string_view aPart) {
    if (m_status != kOk || m_over) {
      return;
    }
    if (m_crossed) {
      Fail(Fault::MisdirectedAnswer);
      return;
    }
    std::vector<StreamToken> tokens;
    bool done = false;
    for (requests::SseEvent& event : m_reader.Feed(aPart)) {
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
    } else if (m_reader.HasOverflowed()) {
      Fail(Fault::ServerError);
    }
  }

  void Finish() {
    // The end of the transfer without the stream's own end mark is a cut.
    if (m_status == kOk) {
      Fail(m_crossed ? Fault::MisdirectedAnswer : Fault::ResetInAnswer);
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

http::HttpRequest EngineClient::Prepare(const base::Address& aEngine,
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

EngineClient::Handle EngineClient::Open(http::HttpRequest aRequest,
                                        const std::string& aStream,
                                        StreamEvents aEvents) {
  auto reader = std::make_shared<StreamReader>();
  reader->m_events = std::move(aEvents);
  reader->m_stream = aStream;
  http::TransferEvents events;
  events.m_onHead = [reader](int aStatus, const http::Headers& aHeaders) {
    reader->Head(aStatus, aHeaders);
  };
  events.m_onData = [reader](std::string_view aPart) { reader->Data(aPart); };
  events.m_onEnd = [reader] { reader->Finish(); };
  events.m_onFault = [reader](TransferFault aFault) {
    reader->Fail(FaultOf(aFault, reader->m_sawTokens));
  };
  reader->m_transfer = m_client.Start(std::move(aRequest), std::move(events));
  return reader->m_transfer;
}

namespace {

std::string GenerationBody(const EngineCall& aCall) {
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

EngineClient::Handle EngineClient::Start(const EngineCall& aCall, StreamEvents aEvents) {
  http::HttpRequest request = Prepare(aCall.m_engine, "POST", aCall.m_path);
  request.m_headers.Add("Content-Type", "application/json");
  request.m_body = GenerationBody(aCall);
  return Open(std::move(request), aCall.m_stream, std::move(aEvents));
}

EngineClient::Handle EngineClient::Resume(const base::Address& aEngine,
                                          const std::string& aStream,
                                          uint64_t aOffset,
                                          StreamEvents aEvents) {
  return Open(Prepare(aEngine, "GET", "/streams/" + aStream + "?from=" + std::to_string(aOffset)),
              aStream,
              std::move(aEvents));
}

void EngineClient::Export(const base::Address& aEngine,
                          const std::string& aStream,
                          base::Millis aTimeout,
                          std::function<void(std::string aState)> aOnDone) {
  http::HttpRequest request = Prepare(aEngine, "POST", "/streams/" + aStream + "/export");
  request.m_totalTimeout = aTimeout;
  m_client.Fetch(std::move(request), [aOnDone = std::move(aOnDone)](auto aAnswer) {
    aOnDone(aAnswer && aAnswer->m_status == kOk ? aAnswer->m_body : std::string());
  });
}

void EngineClient::Cancel(const base::Address& aEngine,
                          const std::string& aStream,
                          bool aOnlyUnread) {
  http::HttpRequest request =
    Prepare(aEngine, "DELETE", "/streams/" + aStream + (aOnlyUnread ? "?unread=1" : ""));
  request.m_totalTimeout = m_settings.m_callTimeout;
  m_client.Fetch(std::move(request), [](const auto&) {});
}

void EngineClient::Load(const base::Address& aEngine,
                        std::function<void(std::optional<routing::EngineLoad>)> aOnDone) {
  http::HttpRequest request = Prepare(aEngine, "GET", "/load");
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

void EngineClient::Evictions(const base::Address& aEngine,
                             uint64_t aFrom,
                             std::function<void(std::optional<CacheEvents>)> aOnDone) {
  http::HttpRequest request =
    Prepare(aEngine, "GET", "/cache/events?evicted=1&from=" + std::to_string(aFrom));
  request.m_totalTimeout = m_settings.m_callTimeout;
  m_client.Fetch(std::move(request), [aFrom, aOnDone = std::move(aOnDone)](auto aAnswer) {
    const auto report =
      aAnswer && aAnswer->m_status == kOk ? base::ParseJson(aAnswer->m_body) : nlohmann::json();
    if (!report.is_object() || !report.contains("events") || !report["events"].is_array()) {
      aOnDone(std::nullopt);
      return;
    }
    CacheEvents events;
    events.m_next = base::ValueOr(report, "next", aFrom);
    events.m_gap = base::ValueOr(report, "first", aFrom) > aFrom;
    for (const auto& item : report["events"]) {
      events.m_events.push_back(
        { base::ValueOr(item, "block", uint64_t{ 0 }), base::ValueOr(item, "evicted", false) });
    }
    aOnDone(std::move(events));
  });
}

namespace {

/// The text behind `aKey` if it stands once in `aData`, as a string with no escapes; nothing
/// otherwise.
std::optional<std::string_view> PlainText(std::string_view aData, std::string_view aKey) {
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

std::string ParsedText(const std::string& aData) {
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
  // Most tokens are one plain text under one key; all others are parsed.
  if (aData.find("\"logprobs\"") == std::string::npos) {
    if (const auto text = PlainText(aData, "\"delta\":{\"content\":\"")) {
      return std::string(*text);
    }
    if (aData.find("\"delta\"") == std::string::npos) {
      if (const auto text = PlainText(aData, "\"text\":\"")) {
        return std::string(*text);
      }
    }
  }
  return ParsedText(aData);
}

} // namespace papayafield::adapters::engine
