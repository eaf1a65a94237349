#pragma once

#include "adapters/engine/EngineClient.h"

#include <concepts>
#include <string>

namespace papayafield::gateway {

/// What the gateway needs of an adapter to model engines. Another kind of engine takes another
/// adapter that meets this, and nothing else changes. A handle stands for a transfer under way.
template<class T>
concept EnginePort = requires(T& aPort,
                              const base::Address& aEngine,
                              const std::string& aStream,
                              const adapters::engine::GenerationRequest& aCall,
                              adapters::engine::StreamEvents aEvents,
                              base::Millis aTimeout) {
  typename T::Handle;
  // Starts a generation, or goes on with an exported one.
  { aPort.Start(aCall, aEvents) } -> std::same_as<typename T::Handle>;
  // Resumes a stream at an offset.
  { aPort.Resume(aEngine, aStream, uint64_t{}, aEvents) } -> std::same_as<typename T::Handle>;
  // Takes a stream's state out of an engine.
  aPort.ExportStream(aEngine, aStream, aTimeout, [](const std::string&) {});
  // Stops and forgets a stream.
  aPort.Cancel(aEngine, aStream, true);
  // Asks for the load, and for dropped cache blocks.
  aPort.FetchLoad(aEngine, [](const std::optional<routing::EngineLoad>&) {});
  aPort.FetchEvictions(
    aEngine, uint64_t{}, [](const std::optional<adapters::engine::CacheEventBatch>&) {});
};

/// The adapter in use.
using EngineAdapter = adapters::engine::EngineClient;
static_assert(EnginePort<EngineAdapter>);

} // namespace papayafield::gateway
