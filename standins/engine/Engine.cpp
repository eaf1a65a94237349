#include "standins/engine/Engine.h"

#include "routing/PrefixHash.h"
#include "standins/common/StandinServer.h"
#include "standins/engine/AnswerText.h"

#include <algorithm>

namespace papayafield::standins {

namespace {

using adapters::http::ExchangePtr;

constexpr base::Millis kTick{ 5 };
constexpr base::Millis kHeartbeat{ 300 };
constexpr base::Millis kKeepFinished{ 20000 };
constexpr base::Millis kEventLag{ 200 };
constexpr size_t kMaxEvents = 20000;

} // namespace

Engine::Engine(adapters::http::EventLoop& aLoop, EngineSettings aSettings)
  : m_loop(aLoop)
  , m_settings(aSettings)
  , m_cache(aSettings.m_cacheBlocks)
  , m_timer(aLoop.Every(kTick, [this] { Tick(); }))
  , m_lastTick(base::SteadyClock().Now()) {}

void Engine::Handle(const ExchangePtr& aExchange) {
  const std::string& path = aExchange->Path();
  if (path.starts_with("/v1/")) {
    Generate(aExchange);
  } else if (path.starts_with("/streams/")) {
    Streams(aExchange);
  } else if (path == "/load") {
    ++m_questions;
    // The reported load is the oldest sample that is kept, which simulates a reporting lag.
    ReplyJson(aExchange, 200, m_samples.empty() ? Report() : m_samples.front().m_report);
  } else if (path == "/cache/events") {
    ++m_questions;
    Events(aExchange);
  } else if (path == "/orders") {
    Order(aExchange);
  } else if (path.starts_with("/control/")) {
    Control(aExchange);
  } else {
    aExchange->Reply(404, {}, "");
  }
}

void Engine::Generate(const ExchangePtr& aExchange) {
  ++m_started;
  m_lastStartMs = static_cast<uint64_t>(base::WallMillis());
  if (m_refusing) {
    aExchange->Reply(503, { { "X-Not-Started", "1" } }, "");
    return;
  }
  const nlohmann::json body = base::ParseJson(aExchange->Body());
  auto stream = std::make_shared<Stream>();
  stream->m_id = base::ValueOr(body, "stream_id", std::string());
  stream->m_prompt = PromptOf(body);
  stream->m_chat = aExchange->Path().starts_with("/v1/chat");
  stream->m_priority = base::ValueOr(body, "priority", uint64_t{ 1 });
  stream->m_first = base::ValueOr(body, "start_at", uint64_t{ 0 });
  stream->m_next = stream->m_first;
  stream->m_total = base::ValueOr(body, "max_tokens", m_settings.m_answerTokens);
  // The text so far must be a prefix of the answer; any other text is an error of the caller.
  const std::string soFar = base::ValueOr(body, "text_so_far", std::string());
  if (soFar != AnswerText(stream->m_prompt, stream->m_first)) {
    ++m_wrongText;
    aExchange->Reply(400, {}, "the text so far is wrong");
    return;
  }
  const std::string state = base::ValueOr(body, "kv_state", std::string());
  const bool imported = state == "kv:" + base::Sha256Hex(stream->m_prompt);
  const uint64_t promptTokens = routing::EstimateTokens(stream->m_prompt);
  const auto blocks = routing::PrefixBlocks(stream->m_prompt);
  const auto cached = static_cast<uint64_t>(m_cache.CachedBlocks(blocks)) * routing::kBlockTokens;
  if (imported) {
    stream->m_prefillLeft = 0;
  } else {
    const uint64_t fresh = promptTokens - std::min(cached, promptTokens);
    stream->m_prefillLeft = static_cast<double>(fresh + stream->m_first);
    m_prefilled += fresh + stream->m_first;
    m_cachedTokens += promptTokens - fresh;
    m_recomputed += stream->m_first > 0 ? fresh + stream->m_first : 0;
  }
  NoteBlocks(*stream);
  m_streams[stream->m_id] = stream;
  m_active.push_back(stream);
  Attach(stream, aExchange, stream->m_first);
}

void Engine::Streams(const ExchangePtr& aExchange) {
  const std::string rest = aExchange->Path().substr(sizeof("/streams/") - 1);
  const std::string id = rest.substr(0, rest.find('/'));
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
    ++m_cancelled;
    Drop(id);
    aExchange->Reply(200, {}, "");
  } else if (rest.ends_with("/export")) {
    Export(aExchange, stream);
  } else {
    const uint64_t from =
      std::strtoull(aExchange->QueryValue("from").value_or("0").c_str(), nullptr, 10);
    if (from < stream->m_first) {
      aExchange->Reply(404, {}, "");
      return;
    }
    Attach(stream, aExchange, from);
  }
}

void Engine::Export(const ExchangePtr& aExchange, const StreamPtr& aStream) {
  // The stream stops immediately; its state is returned after the configured export time.
  const std::string state = "kv:" + base::Sha256Hex(aStream->m_prompt);
  Drop(aStream->m_id);
  m_exports.push_back(m_loop.After(m_settings.m_exportTime,
                                   [aExchange, state] { aExchange->Reply(200, {}, state); }));
  constexpr size_t kTimersKept = 256;
  if (m_exports.size() > kTimersKept) {
    m_exports.pop_front();
  }
}

void Engine::Drop(const std::string& aId) {
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

void Engine::Order(const ExchangePtr& aExchange) {
  const nlohmann::json order = base::ParseJson(aExchange->Body());
  const uint64_t fencing = base::ValueOr(order, "fencing", uint64_t{ 0 });
  if (m_settings.m_checksFencing && fencing < m_fencing) {
    ReplyJson(aExchange, 409, { { "fencing", m_fencing } });
    return;
  }
  // An order is absolute: it lists everything that the engine must run.
  ++m_orders;
  m_fencing = fencing;
  m_order = order;
  m_loadedAt = base::SteadyClock().Now() + m_settings.m_loadTime;
  ReplyJson(aExchange, 200, order);
}

void Engine::Control(const ExchangePtr& aExchange) {
  const std::string what = aExchange->Path().substr(sizeof("/control/") - 1);
  if (what == "leave") {
    m_leaving = true;
  } else if (what == "refuse") {
    m_refusing = aExchange->QueryValue("on").value_or("1") == "1";
  } else if (what == "drop_events") {
    m_dropNextEvents = 50;
  }
  ReplyJson(aExchange,
            200,
            { { "started", m_started },
              { "last_start_ms", m_lastStartMs },
              { "prefilled", m_prefilled },
              { "cached", m_cachedTokens },
              { "recomputed", m_recomputed },
              { "wrong_text", m_wrongText },
              { "cancelled", m_cancelled },
              { "questions", m_questions },
              { "orders", m_orders },
              { "streams", m_streams.size() },
              { "active", m_active.size() } });
}

void Engine::Events(const ExchangePtr& aExchange) {
  const uint64_t from =
    std::strtoull(aExchange->QueryValue("from").value_or("0").c_str(), nullptr, 10);
  const bool onlyEvicted = aExchange->QueryValue("evicted").has_value();
  const auto shown = base::SteadyClock().Now() - kEventLag;
  nlohmann::json events = nlohmann::json::array();
  uint64_t next = from;
  uint64_t first = m_events.empty() ? from : std::max(from, m_events.front().m_number);
  for (const CacheEvent& event : m_events) {
    if (event.m_number >= from && event.m_when <= shown) {
      if (event.m_evicted || !onlyEvicted) {
        events.push_back({ { "block", event.m_block }, { "evicted", event.m_evicted } });
      }
      next = event.m_number + 1;
    }
  }
  ReplyJson(aExchange, 200, { { "first", first }, { "next", next }, { "events", events } });
}

void Engine::Attach(const StreamPtr& aStream, const ExchangePtr& aExchange, uint64_t aFrom) {
  if (const ExchangePtr before = std::exchange(aStream->m_reader, nullptr)) {
    before->SendPart("event: superseded\ndata: {}\n\n");
    before->EndStream();
  }
  aStream->m_reader = aExchange;
  aStream->m_sent = aFrom;
  std::weak_ptr<Stream> weak = aStream;
  aExchange->OnGone([weak, raw = aExchange.get()] {
    const auto stream = weak.lock();
    if (stream != nullptr && stream->m_reader.get() == raw) {
      stream->m_reader.reset();
    }
  });
  aExchange->StartStream(
    200, { { "Content-Type", "text/event-stream" }, { "X-Stream-Id", aStream->m_id } });
  aStream->m_lastSent = base::SteadyClock().Now();
  Pump(*aStream);
}

std::string Engine::EventOf(const Stream& aStream, uint64_t aOffset) const {
  const std::string word = AnswerWord(aStream.m_prompt, aOffset);
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

void Engine::Pump(Stream& aStream) {
  if (aStream.m_reader == nullptr) {
    return;
  }
  std::string text;
  while (aStream.m_sent < aStream.m_next) {
    text += EventOf(aStream, aStream.m_sent++);
  }
  if (aStream.m_phase == Phase::Done) {
    text += "data: [DONE]\n\n";
  } else if (text.empty() && base::SteadyClock().Now() - aStream.m_lastSent >= kHeartbeat) {
    text = ": alive\n\n";
  }
  if (!text.empty()) {
    aStream.m_lastSent = base::SteadyClock().Now();
    aStream.m_reader->SendPart(text);
  }
  if (aStream.m_phase == Phase::Done && aStream.m_reader != nullptr) {
    std::exchange(aStream.m_reader, nullptr)->EndStream();
  }
}

void Engine::Tick() {
  const auto now = base::SteadyClock().Now();
  const double span = std::chrono::duration<double>(now - m_lastTick).count();
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
  double prefill = span * m_settings.m_prefillRate;
  const double tokenSeconds = m_settings.m_tokenMs / 1000 * (1 + m_settings.m_slowdown * inBatch);
  for (const StreamPtr& stream : m_active) {
    if (stream->m_phase == Phase::Prefilling) {
      const double done = std::min(prefill, stream->m_prefillLeft);
      prefill -= done;
      stream->m_prefillLeft -= done;
      if (stream->m_prefillLeft <= 0) {
        stream->m_phase = Phase::Decoding;
        stream->m_untilToken = 0;
      }
    }
    if (stream->m_phase == Phase::Decoding) {
      stream->m_untilToken -= span;
      while (stream->m_untilToken <= 0 && stream->m_next < stream->m_total) {
        ++stream->m_next;
        stream->m_untilToken += tokenSeconds;
      }
      if (stream->m_next >= stream->m_total) {
        stream->m_phase = Phase::Done;
        stream->m_finished = now;
      }
    }
  }
  const std::list<StreamPtr> active = m_active;
  for (const StreamPtr& stream : active) {
    Pump(*stream);
  }
  m_active.remove_if([](const StreamPtr& aStream) { return aStream->m_phase == Phase::Done; });
  std::erase_if(m_streams, [&](const auto& aEntry) {
    return aEntry.second->m_phase == Phase::Done && now - aEntry.second->m_finished > kKeepFinished;
  });
  // Keep load samples for the configured lag.
  m_samples.push_back({ now, Report() });
  while (m_samples.size() > 1 && now - m_samples[1].m_when >= m_settings.m_loadLag) {
    m_samples.pop_front();
  }
}

void Engine::NoteBlocks(const Stream& aStream) {
  const auto blocks = routing::PrefixBlocks(aStream.m_prompt);
  for (const uint64_t block : m_cache.Store(blocks)) {
    NoteEvent(block, true);
  }
  for (const uint64_t block : blocks) {
    NoteEvent(block, false);
  }
}

void Engine::NoteEvent(uint64_t aBlock, bool aEvicted) {
  const uint64_t number = m_nextEvent++;
  if (m_dropNextEvents > 0) {
    --m_dropNextEvents;
    return;
  }
  m_events.push_back({ number, aBlock, aEvicted, base::SteadyClock().Now() });
  if (m_events.size() > kMaxEvents) {
    m_events.pop_front();
  }
}

nlohmann::json Engine::Report() const {
  uint32_t running = 0;
  uint32_t queued = 0;
  double tokens = 0;
  for (const StreamPtr& stream : m_active) {
    ++(stream->m_phase == Phase::Queued ? queued : running);
    tokens += stream->m_prefillLeft;
  }
  return { { "running", running },
           { "queued", queued },
           { "slots", m_settings.m_slots },
           { "queued_prefill_tokens", static_cast<uint64_t>(tokens) },
           { "prefill_rate", m_settings.m_prefillRate },
           { "leaving", m_leaving },
           { "order", m_order },
           { "loaded", base::SteadyClock().Now() >= m_loadedAt },
           { "age_ms", m_settings.m_loadLag.count() } };
}

} // namespace papayafield::standins
