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

/// One token event of an engine stream.
struct StreamToken {
  /// Offset of the token in the answer, starting at 0.
  uint64_t m_offset = 0;
  /// Data of the event as sent by the engine (a JSON object).
  std::string m_data;
};

/// Callbacks of a stream. Exactly one of m_onEnd, m_onSuperseded and m_onFault is called, exactly
/// once, and no other callback follows it.
struct StreamEvents {
  /// Called when tokens have been received.
  std::function<void(std::vector<StreamToken> aTokens)> m_onTokens;
  /// Called when the answer is complete.
  std::function<void()> m_onEnd;
  /// Called when another reader has taken over the stream because its caller reconnected to another
  /// node.
  std::function<void()> m_onSuperseded;
  /// Called when the stream has failed.
  std::function<void(requests::Fault aFault)> m_onFault;
};

/// A generation request to an engine.
struct GenerationRequest {
  /// Address of the engine.
  base::Address m_engine;
  /// Path: `/v1/chat/completions` or `/v1/completions`.
  std::string m_path;
  /// Body of the caller's request, as JSON.
  std::shared_ptr<const nlohmann::json> m_body;
  /// Id of the stream at the engine.
  std::string m_stream;
  /// Priority class; 0 is the highest priority.
  size_t m_priority = 1;
  /// Offset of the first token to generate.
  uint64_t m_startAt = 0;
  /// Text of the tokens before m_startAt.
  std::string m_textSoFar;
  /// KV state exported by the engine that ran the stream before; empty to prefill the prompt again.
  std::string m_kvState;
};

/// One event of an engine's prefix cache.
struct CacheEvent {
  uint64_t m_block = 0;
  bool m_evicted = false;
};

/// A batch of cache events.
struct CacheEventBatch {
  /// Number of the first event to request next.
  uint64_t m_next = 0;
  /// Whether events before this batch were lost.
  bool m_hasGap = false;
  std::vector<CacheEvent> m_events;
};

/// Timeouts for requests to an engine.
struct EngineClientSettings {
  base::Millis m_connectTimeout{ 1000 };
  base::Millis m_streamIdleTimeout{ 2000 };
  base::Millis m_callTimeout{ 1000 };
};

/// HTTP client for model engines: completions as server-sent events, streams that can be resumed,
/// moved and cancelled, load reports and cache events. Must be used only on the thread of its HTTP
/// client.
class EngineClient {
public:
  using Handle = std::weak_ptr<http::Transfer>;

  /// Sends its requests with `aClient`, which must outlive it.
  EngineClient(http::HttpClient& aClient, EngineClientSettings aSettings);

  /// Starts a generation, or continues an exported one.
  Handle Start(const GenerationRequest& aCall, StreamEvents aEvents);
  /// Resumes reading the stream `aStream` from `aOffset` at the engine that runs it.
  Handle Resume(const base::Address& aEngine,
                const std::string& aStream,
                uint64_t aOffset,
                StreamEvents aEvents);
  /// Exports the state of a stream from an engine that is shutting down; an empty string on
  /// failure. The engine stops the stream.
  void ExportStream(const base::Address& aEngine,
                    const std::string& aStream,
                    base::Millis aTimeout,
                    std::function<void(std::string aState)> aOnDone);
  /// Requests that the engine stops and removes a stream; with `aOnlyUnread`, only if the stream
  /// has no reader. The result is ignored.
  void Cancel(const base::Address& aEngine, const std::string& aStream, bool aOnlyUnread);
  /// Requests the load report of the engine; nullopt on failure.
  void FetchLoad(const base::Address& aEngine,
                 std::function<void(std::optional<routing::EngineLoad>)> aOnDone);
  /// Requests the eviction events of the engine's cache, starting at event `aFrom`; nullopt on
  /// failure.
  void FetchEvictions(const base::Address& aEngine,
                      uint64_t aFrom,
                      std::function<void(std::optional<CacheEventBatch>)> aOnDone);

private:
  http::HttpRequest MakeRequest(const base::Address& aEngine,
                                std::string aMethod,
                                std::string aTarget);
  Handle OpenStream(http::HttpRequest aRequest, const std::string& aStream, StreamEvents aEvents);

  http::HttpClient& m_client;
  EngineClientSettings m_settings;
};

/// Returns the text that a token event adds to the answer; empty for a final event or an event of
/// another format.
std::string TokenText(const std::string& aData);

} // namespace papayafield::adapters::engine
