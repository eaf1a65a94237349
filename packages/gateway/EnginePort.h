#pragma once

#include "adapters/engine/EngineClient.h"

#include <concepts>
#include <string>

namespace papayafield::gateway {

/// Requirements on an adapter for model engines. Support for another kind of engine needs only
/// another adapter that satisfies this concept. A `Handle` identifies a transfer in progress.
template<class T>
concept EnginePort = requires(T& aPort,
                              const base::Address& aEngine,
                              const std::string& aStream,
                              const adapters::engine::GenerationRequest& aCall,
                              adapters::engine::StreamEvents aEvents,
                              base::Millis aTimeout) {
  typename T::Handle;
  // Starts a generation, or continues an exported one.
  { aPort.Start(aCall, aEvents) } -> std::same_as<typename T::Handle>;
  // Resumes a stream at an offset.
  { aPort.Resume(aEngine, aStream, uint64_t{}, aEvents) } -> std::same_as<typename T::Handle>;
  // Exports the state of a stream from an engine.
  aPort.ExportStream(aEngine, aStream, aTimeout, [](const std::string&) {});
  // Cancels and removes a stream.
  aPort.Cancel(aEngine, aStream, true);
  // Queries the load and the evicted cache blocks.
  aPort.FetchLoad(aEngine, [](const std::optional<routing::EngineLoad>&) {});
  aPort.FetchEvictions(
    aEngine, uint64_t{}, [](const std::optional<adapters::engine::CacheEventBatch>&) {});
};

/// The adapter that the gateway uses.
using EngineAdapter = adapters::engine::EngineClient;
static_assert(EnginePort<EngineAdapter>);

} // namespace papayafield::gateway
