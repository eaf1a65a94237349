#include "standins/engine/Engine.h"

#include "routing/PrefixHash.h"
#include "standins/common/StandinServer.h"
#include "standins/engine/AnswerText.h"

#include <algorithm>

namespace papayafield::standins {

namespace {

using adapters::http::ExchangePtr;

constexpr base::Millis kTickInterval{ 5 };
constexpr base::Millis kHeartbeatInterval{ 300 };
constexpr base::Millis kFinishedStreamRetention{ 20000 };
constexpr base::Millis kEventLag{ 200 };
constexpr size_t kMaxEvents = 20000;

} // namespace

Engine::Engine(adapters::http::EventLoop& aLoop, EngineSettings aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_cache(aSettings.m_cacheBlocks)
  , m_timer(aLoop.Every(kTickInterval, [this] { Tick(); }))
  , m_lastTick(base::SteadyClock().Now()) {}

void Engine::Handle(const ExchangePtr& aExchange) {
  const std::string& path = aExchange->Path();
  if (path.starts_with("/v1/")) {
    Generate(aExchange);
  } else if (path.starts_with("/streams/")) {
    HandleStream(aExchange);
  } else if (path == "/load") {
    ++m_reportRequestCount;
    // The reported load is the oldest sample that is kept, which simulates a reporting lag.
    ReplyJson(aExchange, 200, m_samples.empty() ? MakeLoadReport() : m_samples.front().m_report);
  } else if (path == "/cache/events") {
    ++m_reportRequestCount;
    SendCacheEvents(aExchange);
  } else if (path == "/orders") {
    ApplyOrder(aExchange);
  } else if (path.starts_with("/control/")) {
    HandleControl(aExchange);
  } else {
    aExchange->Reply(404, {}, "");
  }
}

void Engine::Generate(const ExchangePtr& aExchange) {
  ++m_requestCount;
  m_lastRequestMs = static_cast<uint64_t>(base::WallMillis());
  if (m_rejectsRequests) {
    aExchange->Reply(503, { { "X-Not-Started", "1" } }, "");
    return;
  }
  const nlohmann::json body = base::ParseJson(aExchange->Body());
  auto stream = std::make_shared<Stream>();
  stream->m_id = base::ValueOr(body, "stream_id", std::string());
  stream->m_prompt = ExtractPrompt(body);
  stream->m_chat = aExchange->Path().starts_with("/v1/chat");
  stream->m_priority = base::ValueOr(body, "priority", uint64_t{ 1 });
  stream->m_firstOffset = base::ValueOr(body, "start_at", uint64_t{ 0 });
  stream->m_nextOffset = stream->m_firstOffset;
  stream->m_totalTokens = base::ValueOr(body, "max_tokens", m_settings.m_answerTokens);
  // The text so far must be a prefix of the answer; any other text is an error of the caller.
  const std::string textSoFar = base::ValueOr(body, "text_so_far", std::string());
  if (textSoFar != AnswerText(stream->m_prompt, stream->m_firstOffset)) {
    ++m_textMismatchCount;
    aExchange->Reply(400, {}, "the text so far is wrong");
    return;
  }
  const std::string kvState = base::ValueOr(body, "kv_state", std::string());
  const bool imported = kvState == "kv:" + base::Sha256Hex(stream->m_prompt);
  const uint64_t promptTokens = routing::EstimateTokens(stream->m_prompt);
  const auto blocks = routing::PrefixBlocks(stream->m_prompt);
  const auto cached = static_cast<uint64_t>(m_cache.CachedBlocks(blocks)) * routing::kBlockTokens;
  if (imported) {
    stream->m_remainingPrefill = 0;
  } else {
    const uint64_t uncachedTokens = promptTokens - std::min(cached, promptTokens);
    stream->m_remainingPrefill = static_cast<double>(uncachedTokens + stream->m_firstOffset);
    m_prefilledTokens += uncachedTokens + stream->m_firstOffset;
    m_cachedTokens += promptTokens - uncachedTokens;
    m_recomputedTokens += stream->m_firstOffset > 0 ? uncachedTokens + stream->m_firstOffset : 0;
  }
  CachePromptBlocks(*stream);
  m_streams[stream->m_id] = stream;
  m_active.push_back(stream);
  AttachReader(stream, aExchange, stream->m_firstOffset);
}

void Engine::HandleStream(const ExchangePtr& aExchange) {
  const std::string subpath = aExchange->Path().substr(sizeof("/streams/") - 1);
  const std::string id = subpath.substr(0, subpath.find('/'));
  const auto found = m_streams.find(id);
  if (found == m_streams.end()) {
    aExchange->Reply(404, {}, "");
    return;
  }
  const StreamPtr stream = found->second;
  if (aExchange->Method() == "DELETE") {
    if (aExchange->QueryValue("unread") && stream->m_reader != nullptr) {
      aExchange->Reply(409, {}, "");
      return;
    }
    ++m_cancelCount;
    RemoveStream(id);
    aExchange->Reply(200, {}, "");
  } else if (subpath.ends_with("/export")) {
    ExportStream(aExchange, stream);
  } else {
    const uint64_t from =
      std::strtoull(aExchange->QueryValue("from").value_or("0").c_str(), nullptr, 10);
    if (from < stream->m_firstOffset) {
      aExchange->Reply(404, {}, "");
      return;
    }
    AttachReader(stream, aExchange, from);
  }
}

void Engine::ExportStream(const ExchangePtr& aExchange, const StreamPtr& aStream) {
  // The stream stops immediately; its state is returned after the configured export time.
  const std::string kvState = "kv:" + base::Sha256Hex(aStream->m_prompt);
  RemoveStream(aStream->m_id);
  m_exportTimers.push_back(m_loop.After(
    m_settings.m_exportTime, [aExchange, kvState] { aExchange->Reply(200, {}, kvState); }));
  constexpr size_t kMaxTimers = 256;
  if (m_exportTimers.size() > kMaxTimers) {
    m_exportTimers.pop_front();
  }
}

void Engine::RemoveStream(const std::string& aId) {
  const auto found = m_streams.find(aId);
  if (found == m_streams.end()) {
    return;
  }
  const StreamPtr stream = found->second;
  m_streams.erase(found);
  m_active.remove(stream);
  if (stream->m_reader != nullptr) {
    stream->m_reader->Abort();
    stream->m_reader.reset();
  }
}

void Engine::ApplyOrder(const ExchangePtr& aExchange) {
  const nlohmann::json order = base::ParseJson(aExchange->Body());
  const uint64_t fencingToken = base::ValueOr(order, "fencing", uint64_t{ 0 });
  if (m_settings.m_checksFencing && fencingToken < m_fencingToken) {
    ReplyJson(aExchange, 409, { { "fencing", m_fencingToken } });
    return;
  }
  // An order is absolute: it lists everything that the engine must run.
  ++m_orderCount;
  m_fencingToken = fencingToken;
  m_lastOrder = order;
  m_loadedAt = base::SteadyClock().Now() + m_settings.m_loadTime;
  ReplyJson(aExchange, 200, order);
}

void Engine::HandleControl(const ExchangePtr& aExchange) {
  const std::string command = aExchange->Path().substr(sizeof("/control/") - 1);
  if (command == "leave") {
    m_isLeaving = true;
  } else if (command == "refuse") {
    m_rejectsRequests = aExchange->QueryValue("on").value_or("1") == "1";
  } else if (command == "drop_events") {
    m_eventsToDrop = 50;
  }
  ReplyJson(aExchange,
            200,
            { { "started", m_requestCount },
              { "last_start_ms", m_lastRequestMs },
              { "prefilled", m_prefilledTokens },
              { "cached", m_cachedTokens },
              { "recomputed", m_recomputedTokens },
              { "wrong_text", m_textMismatchCount },
              { "cancelled", m_cancelCount },
              { "questions", m_reportRequestCount },
              { "orders", m_orderCount },
              { "streams", m_streams.size() },
              { "active", m_active.size() } });
}

void Engine::SendCacheEvents(const ExchangePtr& aExchange) {
  const uint64_t from =
    std::strtoull(aExchange->QueryValue("from").value_or("0").c_str(), nullptr, 10);
  const bool onlyEvicted = aExchange->QueryValue("evicted").has_value();
  const auto visibleUntil = base::SteadyClock().Now() - kEventLag;
  nlohmann::json events = nlohmann::json::array();
  uint64_t next = from;
  uint64_t first = m_events.empty() ? from : std::max(from, m_events.front().m_number);
  for (const CacheEvent& event : m_events) {
    if (event.m_number >= from && event.m_recordedAt <= visibleUntil) {
      if (event.m_evicted || !onlyEvicted) {
        events.push_back({ { "block", event.m_block }, { "evicted", event.m_evicted } });
      }
      next = event.m_number + 1;
    }
  }
  ReplyJson(aExchange, 200, { { "first", first }, { "next", next }, { "events", events } });
}

void Engine::AttachReader(const StreamPtr& aStream, const ExchangePtr& aExchange, uint64_t aFrom) {
  if (const ExchangePtr previousReader = std::exchange(aStream->m_reader, nullptr)) {
    previousReader->SendPart("event: superseded\ndata: {}\n\n");
    previousReader->EndStream();
  }
  aStream->m_reader = aExchange;
  aStream->m_nextSendOffset = aFrom;
  std::weak_ptr<Stream> weak = aStream;
  aExchange->OnDisconnect([weak, raw = aExchange.get()] {
    const auto stream = weak.lock();
    if (stream != nullptr && stream->m_reader.get() == raw) {
      stream->m_reader.reset();
    }
  });
  aExchange->StartStream(
    200, { { "Content-Type", "text/event-stream" }, { "X-Stream-Id", aStream->m_id } });
  aStream->m_lastSentAt = base::SteadyClock().Now();
  SendPendingTokens(*aStream);
}

std::string Engine::FormatTokenEvent(const Stream& aStream, uint64_t aOffset) const {
  const std::string word = AnswerToken(aStream.m_prompt, aOffset);
  const std::string id = "id: " + std::to_string(aOffset) + "\ndata: ";
  if (aStream.m_chat) {
    return id +
           "{\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{"
           "\"content\":\"" +
           word + "\"}}]}\n\n";
  }
  return id + "{\"object\":\"text_completion\",\"choices\":[{\"index\":0,\"text\":\"" + word +
         "\"}]}\n\n";
}

void Engine::SendPendingTokens(Stream& aStream) {
  if (aStream.m_reader == nullptr) {
    return;
  }
  std::string text;
  while (aStream.m_nextSendOffset < aStream.m_nextOffset) {
    text += FormatTokenEvent(aStream, aStream.m_nextSendOffset++);
  }
  if (aStream.m_phase == Phase::Done) {
    text += "data: [DONE]\n\n";
  } else if (text.empty() &&
             base::SteadyClock().Now() - aStream.m_lastSentAt >= kHeartbeatInterval) {
    text = ": alive\n\n";
  }
  if (!text.empty()) {
    aStream.m_lastSentAt = base::SteadyClock().Now();
    aStream.m_reader->SendPart(text);
  }
  if (aStream.m_phase == Phase::Done && aStream.m_reader != nullptr) {
    std::exchange(aStream.m_reader, nullptr)->EndStream();
  }
}

void Engine::Tick() {
  const auto now = base::SteadyClock().Now();
  const double elapsedSeconds = std::chrono::duration<double>(now - m_lastTick).count();
  m_lastTick = now;
  // Fill the batch by priority (lowest value first), then by order of arrival.
  auto inBatch = static_cast<uint32_t>(
    std::count_if(m_active.begin(), m_active.end(), [](const StreamPtr& aStream) {
      return aStream->m_phase != Phase::Queued;
    }));
  while (inBatch < m_settings.m_slots) {
    StreamPtr next;
    for (const StreamPtr& stream : m_active) {
      if (stream->m_phase == Phase::Queued &&
          (next == nullptr || stream->m_priority < next->m_priority)) {
        next = stream;
      }
    }
    if (next == nullptr) {
      break;
    }
    next->m_phase = Phase::Prefilling;
    ++inBatch;
  }
  // Prefill is sequential: streams share the budget in order. All decoding streams advance
  // together.
  double prefillBudget = elapsedSeconds * m_settings.m_prefillRate;
  const double tokenSeconds = m_settings.m_tokenMs / 1000 * (1 + m_settings.m_slowdown * inBatch);
  for (const StreamPtr& stream : m_active) {
    if (stream->m_phase == Phase::Prefilling) {
      const double prefilledTokens = std::min(prefillBudget, stream->m_remainingPrefill);
      prefillBudget -= prefilledTokens;
      stream->m_remainingPrefill -= prefilledTokens;
      if (stream->m_remainingPrefill <= 0) {
        stream->m_phase = Phase::Decoding;
        stream->m_secondsToNextToken = 0;
      }
    }
    if (stream->m_phase == Phase::Decoding) {
      stream->m_secondsToNextToken -= elapsedSeconds;
      while (stream->m_secondsToNextToken <= 0 && stream->m_nextOffset < stream->m_totalTokens) {
        ++stream->m_nextOffset;
        stream->m_secondsToNextToken += tokenSeconds;
      }
      if (stream->m_nextOffset >= stream->m_totalTokens) {
        stream->m_phase = Phase::Done;
        stream->m_finishedAt = now;
      }
    }
  }
  const std::list<StreamPtr> active = m_active;
  for (const StreamPtr& stream : active) {
    SendPendingTokens(*stream);
  }
  m_active.remove_if([](const StreamPtr& aStream) { return aStream->m_phase == Phase::Done; });
  std::erase_if(m_streams, [&](const auto& aEntry) {
    return aEntry.second->m_phase == Phase::Done &&
           now - aEntry.second->m_finishedAt > kFinishedStreamRetention;
  });
  // Keep load samples for the configured lag.
  m_samples.push_back({ now, MakeLoadReport() });
  while (m_samples.size() > 1 && now - m_samples[1].m_recordedAt >= m_settings.m_loadLag) {
    m_samples.pop_front();
  }
}

void Engine::CachePromptBlocks(const Stream& aStream) {
  const auto blocks = routing::PrefixBlocks(aStream.m_prompt);
  for (const uint64_t block : m_cache.Store(blocks)) {
    RecordCacheEvent(block, true);
  }
  for (const uint64_t block : blocks) {
    RecordCacheEvent(block, false);
  }
}

void Engine::RecordCacheEvent(uint64_t aBlock, bool aEvicted) {
  const uint64_t number = m_nextEventNumber++;
  if (m_eventsToDrop > 0) {
    --m_eventsToDrop;
    return;
  }
  m_events.push_back({ number, aBlock, aEvicted, base::SteadyClock().Now() });
  if (m_events.size() > kMaxEvents) {
    m_events.pop_front();
  }
}

nlohmann::json Engine::MakeLoadReport() const {
  uint32_t running = 0;
  uint32_t queued = 0;
  double queuedPrefillTokens = 0;
  for (const StreamPtr& stream : m_active) {
    ++(stream->m_phase == Phase::Queued ? queued : running);
    queuedPrefillTokens += stream->m_remainingPrefill;
  }
  return { { "running", running },
           { "queued", queued },
           { "slots", m_settings.m_slots },
           { "queued_prefill_tokens", static_cast<uint64_t>(queuedPrefillTokens) },
           { "prefill_rate", m_settings.m_prefillRate },
           { "leaving", m_isLeaving },
           { "order", m_lastOrder },
           { "loaded", base::SteadyClock().Now() >= m_loadedAt },
           { "age_ms", m_settings.m_loadLag.count() } };
}

} // namespace papayafield::standins
