#pragma once

#include "adapters/http/HttpClient.h"
#include "requests/FaultTable.h"
#include "requests/SseReader.h"
#include "routing/Endpoint.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace papayafield::adapters::engine {

/// One token event of an engine's stream.
struct StreamToken {
  /// Its offset in the answer, from 0.
  uint64_t m_offset = 0;
  /// The event's data as the engine wrote it (a JSON object).
  std::string m_data;
};

/// What a stream tells its owner. Exactly one of m_onEnd, m_onSuperseded and
/// m_onFault is called, once, as the last.
struct StreamEvents {
  /// Tokens have come.
  std::function<void(std::vector<StreamToken> aTokens)> m_onTokens;
  /// The answer is whole.
  std::function<void()> m_onEnd;
  /// Another reader has taken the stream over: its caller has come back at another node.
  std::function<void()> m_onSuperseded;
  /// The stream failed.
  std::function<void(requests::Fault aFault)> m_onFault;
};

/// A generation request as an engine takes it.
struct EngineCall {
  /// Where the engine listens.
  base::Address m_engine;
  /// `/v1/chat/completions` or `/v1/completions`.
  std::string m_path;
  /// The caller's body, as JSON.
  std::shared_ptr<const nlohmann::json> m_body;
  /// Name that the stream has at the engine.
  std::string m_stream;
  /// Priority class, 0 being the first to go.
  size_t m_priority = 1;
  /// Offset of the first token wanted.
  uint64_t m_startAt = 0;
  /// Text of the tokens before m_startAt.
  std::string m_textSoFar;
  /// State exported by the engine that held the stream before; empty to prefill again.
  std::string m_kvState;
};

/// A cache event of an engine.
struct CacheEvent {
  uint64_t m_block = 0;
  bool m_evicted = false;
};

/// A batch of cache events.
struct CacheEvents {
  /// Number to ask from next.
  uint64_t m_next = 0;
  /// Whether events before these were lost.
  bool m_gap = false;
  std::vector<CacheEvent> m_events;
};

/// How the engine is spoken with.
struct EngineClientSettings {
  base::Millis m_connectTimeout{ 1000 };
  base::Millis m_streamIdleTimeout{ 2000 };
  base::Millis m_callTimeout{ 1000 };
};

/// Speaks with model engines over HTTP: completions as server-sent events, streams that can be
/// resumed, moved and cancelled, load reports and cache events. Belongs to the thread of its
/// client.
class EngineClient {
public:
  using Handle = std::weak_ptr<http::Transfer>;

  /// Speaks through `aClient`, which must outlive it.
  EngineClient(http::HttpClient& aClient, EngineClientSettings aSettings);

  /// Starts a generation, or goes on with an exported one.
  Handle Start(const EngineCall& aCall, StreamEvents aEvents);
  /// Resumes the stream `aStream` at `aOffset` at the engine that holds it.
  Handle Resume(const base::Address& aEngine,
                const std::string& aStream,
                uint64_t aOffset,
                StreamEvents aEvents);
  /// Takes the stream's state out of an engine that is leaving; an empty text on failure. The
  /// engine stops the stream.
  void Export(const base::Address& aEngine,
              const std::string& aStream,
              base::Millis aTimeout,
              std::function<void(std::string aState)> aOnDone);
  /// Tells the engine to stop and forget a stream; with `aOnlyUnread`, only if nobody reads it.
  /// Nothing is reported.
  void Cancel(const base::Address& aEngine, const std::string& aStream, bool aOnlyUnread);
  /// Asks for the engine's load; nothing on failure.
  void Load(const base::Address& aEngine,
            std::function<void(std::optional<routing::EngineLoad>)> aOnDone);
  /// Asks which cached blocks were dropped, from event `aFrom` on; nothing on failure.
  void Evictions(const base::Address& aEngine,
                 uint64_t aFrom,
                 std::function<void(std::optional<CacheEvents>)> aOnDone);

private:
  http::HttpRequest Prepare(const base::Address& aEngine, std::string aMethod, std::string aTarget);
  Handle Open(http::HttpRequest aRequest, const std::string& aStream, StreamEvents aEvents);

  http::HttpClient& m_client;
  EngineClientSettings m_settings;
};

/// The text that a token event adds to the answer; empty for a finishing event or a foreign one.
std::string TokenText(const std::string& aData);

} // namespace papayafield::adapters::engine
