#pragma once

#include "adapters/http/HttpServer.h"
#include "base/Json.h"
#include "routing/CacheView.h"

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace papayafield::standins {

/// Speed and capacity of the simulated engine.
struct EngineSettings {
  /// Maximum number of streams in the batch.
  uint32_t m_slots = 8;
  /// Prompt tokens prefilled per second.
  double m_prefillRate = 8000;
  /// Time between two tokens of a stream in milliseconds, without the slowdown by the batch.
  double m_tokenMs = 20;
  /// Fraction by which each stream in the batch increases the time between tokens.
  double m_slowdown = 0.02;
  /// Capacity of the prefix cache in blocks.
  size_t m_cacheBlocks = 4096;
  /// Age of a load report.
  base::Millis m_loadLag{ 100 };
  /// Duration of an export.
  base::Millis m_exportTime{ 20 };
  /// Whether an order with an outdated fencing token is rejected.
  bool m_checksFencing = true;
  /// Time to load the models named by an order.
  base::Millis m_loadTime{ 200 };
  /// Number of tokens of an answer if the request sets no maximum.
  uint64_t m_answerTokens = 40;
};

/// Simulates a model engine with continuous batching, a prefix cache and priorities. Streams
/// continue without a reader and can be resumed, cancelled, exported and imported.
class Engine {
public:
  /// Creates an engine that advances its batch on `aLoop`.
  Engine(adapters::http::EventLoop& aLoop, EngineSettings aSettings);

  /// Handles a request to the engine API or to the test controls below /control/.
  void Handle(const adapters::http::ExchangePtr& aExchange);

private:
  enum class Phase { Queued, Prefilling, Decoding, Done };

  struct Stream {
    std::string m_id;
    std::string m_prompt;
    bool m_chat = true;
    uint64_t m_priority = 1;
    /// Offset of the next token to generate.
    uint64_t m_nextOffset = 0;
    /// Offset of the first token that this engine generates.
    uint64_t m_firstOffset = 0;
    uint64_t m_totalTokens = 0;
    /// Tokens that remain to be prefilled.
    double m_remainingPrefill = 0;
    double m_secondsToNextToken = 0;
    Phase m_phase = Phase::Queued;
    base::TimePoint m_finishedAt{};
    base::TimePoint m_lastSentAt{};
    /// The connected reader (may be null) and the offset of the next token to send to it.
    adapters::http::ExchangePtr m_reader;
    uint64_t m_nextSendOffset = 0;
  };
  using StreamPtr = std::shared_ptr<Stream>;

  struct LoadSample {
    base::TimePoint m_recordedAt;
    nlohmann::json m_report;
  };

  void Generate(const adapters::http::ExchangePtr& aExchange);
  void HandleStream(const adapters::http::ExchangePtr& aExchange);
  void ExportStream(const adapters::http::ExchangePtr& aExchange, const StreamPtr& aStream);
  void ApplyOrder(const adapters::http::ExchangePtr& aExchange);
  void HandleControl(const adapters::http::ExchangePtr& aExchange);
  void SendCacheEvents(const adapters::http::ExchangePtr& aExchange);
  void AttachReader(const StreamPtr& aStream,
                    const adapters::http::ExchangePtr& aExchange,
                    uint64_t aFrom);
  void SendPendingTokens(Stream& aStream);
  void Tick();
  void StartPrefill(Stream& aStream);
  void CachePromptBlocks(const Stream& aStream);
  void RecordCacheEvent(uint64_t aBlock, bool aEvicted);
  nlohmann::json MakeLoadReport() const;
  void RemoveStream(const std::string& aId);
  std::string FormatTokenEvent(const Stream& aStream, uint64_t aOffset) const;

  adapters::http::EventLoop& m_loop;
  EngineSettings m_settings;
  std::map<std::string, StreamPtr> m_streams;
  /// Streams that are queued or in the batch, in order of arrival.
  std::list<StreamPtr> m_active;
  routing::CacheView m_cache;
  std::deque<LoadSample> m_samples;
  std::list<adapters::http::EventHandlePtr> m_exportTimers;
  bool m_isLeaving = false;
  bool m_rejectsRequests = false;
  uint64_t m_requestCount = 0;
  uint64_t m_lastRequestMs = 0;
  uint64_t m_prefilledTokens = 0;
  uint64_t m_cachedTokens = 0;
  uint64_t m_recomputedTokens = 0;
  uint64_t m_textMismatchCount = 0;
  uint64_t m_cancelCount = 0;
  uint64_t m_reportRequestCount = 0;
  /// The last accepted order; `m_loadedAt` is the time at which it is applied.
  nlohmann::json m_lastOrder;
  uint64_t m_fencingToken = 0;
  uint64_t m_orderCount = 0;
  base::TimePoint m_loadedAt{};
  uint64_t m_eventsToDrop = 0;
  struct CacheEvent {
    uint64_t m_number;
    uint64_t m_block;
    bool m_evicted;
    base::TimePoint m_recordedAt;
  };
  std::deque<CacheEvent> m_events;
  uint64_t m_nextEventNumber = 1;
  adapters::http::EventHandlePtr m_timer;
  base::TimePoint m_lastTick;
};

} // namespace papayafield::standins
