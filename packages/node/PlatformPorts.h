#pragma once

#include "adapters/platform/HostListClient.h"
#include "adapters/platform/KeyValueClient.h"

#include <concepts>
#include <string>

namespace papayafield::node {

/// Requirements of the platform task on a key-value service adapter: compare-and-swap, leases and
/// watches. To support another service, write an adapter that satisfies this concept.
template<class T>
concept KeyValuePort = requires(T& aPort, const std::string& aText, base::Millis aDuration) {
  aPort.Read(aText, [](const typename T::ReadResult&) {});
  aPort.Watch(aText, uint64_t{}, aDuration, [](const typename T::ReadResult&) {});
  aPort.List(aText, [](const auto&) {});
  aPort.CompareAndSwap(aText, aText, uint64_t{}, aText, [](const typename T::SwapResult&) {});
  aPort.Remove(aText, uint64_t{}, [](const typename T::SwapResult&) {});
  aPort.GrantLease(aDuration, [](const std::optional<std::string>&) {});
  aPort.RenewLease(aText, [](bool) {});
};

/// Requirements of the platform task on an adapter to the cloud's host list.
template<class T>
concept HostListPort = requires(T& aPort) {
  aPort.Read([](const std::optional<std::vector<routing::EndpointInfo>>&) {});
};

/// The adapters in use.
using KeyValueAdapter = adapters::platform::KeyValueClient;
using HostListAdapter = adapters::platform::HostListClient;
static_assert(KeyValuePort<KeyValueAdapter>);
static_assert(HostListPort<HostListAdapter>);

} // namespace papayafield::node
