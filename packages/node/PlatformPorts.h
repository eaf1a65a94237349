#pragma once

#include "adapters/platform/HostListClient.h"
#include "adapters/platform/KeyValueClient.h"

#include <concepts>
#include <string>

namespace papayafield::node {

/// What the platform task needs of an adapter to the key-value service: compare-and-swap, leases
/// and watches. Another service takes another adapter that meets this.
template<class T>
concept KeyValuePort = requires(T& aPort, const std::string& aText, base::Millis aSpan) {
  aPort.Read(aText, [](const typename T::ReadResult&) {});
  aPort.Watch(aText, uint64_t{}, aSpan, [](const typename T::ReadResult&) {});
  aPort.List(aText, [](const auto&) {});
  aPort.CompareAndSwap(aText, aText, uint64_t{}, aText, [](const typename T::SwapResult&) {});
  aPort.Remove(aText, uint64_t{}, [](const typename T::SwapResult&) {});
  aPort.GrantLease(aSpan, [](const std::optional<std::string>&) {});
  aPort.RenewLease(aText, [](bool) {});
};

/// What the platform task needs of an adapter to the cloud's host list.
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
