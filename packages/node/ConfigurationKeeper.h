#pragma once

#include "base/Log.h"
#include "node/PlatformPorts.h"
#include "tasks/Messages.h"

#include <functional>
#include <map>

namespace papayafield::node {

/// Keeps this node's configuration at the highest generation offered by the platform or a peer, and
/// executes applies. Used only on the platform task's thread.
class ConfigurationKeeper {
public:
  /// Calls `aOnActivated` with each higher generation that becomes active.
  ConfigurationKeeper(adapters::http::EventLoop& aLoop,
                      KeyValueAdapter& aStore,
                      base::Millis aBackstopPeriod,
                      std::function<void(const tasks::Configuration&)> aOnActivated);

  /// Sets whether this node keeps a watch open or polls every `aBackstopPeriod` (with jitter).
  void SetWatching(bool aWatching);
  /// Offers a configuration from the platform or a peer; ignored unless its generation is higher.
  void Offer(tasks::Configuration aConfiguration);
  /// Activates the highest configuration offered so far, and later offers at once. Called after the
  /// peers have been asked for theirs: the platform's answer may be older than the configuration
  /// that is active on the peers.
  void Activate();
  /// Executes an apply and passes its outcome to `aOnDone`.
  void Apply(tasks::ApplyRequest aRequest, std::function<void(tasks::ApplyResponse)> aOnDone);

  /// The highest configuration offered so far; it is active once Activate was called.
  const tasks::Configuration& Latest() const { return m_latest; }

private:
  struct ApplyState;
  using ApplyPtr = std::shared_ptr<ApplyState>;

  void ReadConfiguration();
  void OnRead(const KeyValueAdapter::ReadResult& aResult);
  void ScheduleRead(base::Millis aDelay);
  void ReadForApply(const ApplyPtr& aApply);
  void WriteForApply(const ApplyPtr& aApply, const adapters::platform::KeyValueEntry& aEntry);
  void ResolveAmbiguousApply(const ApplyPtr& aApply);
  void CompleteApply(const ApplyPtr& aApply,
                     tasks::ApplyVerdict aVerdict,
                     const tasks::Configuration& aConfiguration);

  adapters::http::EventLoop& m_loop;
  KeyValueAdapter& m_store;
  base::Millis m_backstopPeriod;
  std::function<void(const tasks::Configuration&)> m_onActivated;
  base::Log m_log;
  tasks::Configuration m_latest;
  bool m_activated = false;
  uint64_t m_version = 0;
  bool m_watching = true;
  bool m_readInFlight = false;
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::node
