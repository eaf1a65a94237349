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
  /// Calls `aOnAdopted` with each higher generation that becomes active.
  ConfigurationKeeper(adapters::http::EventLoop& aLoop,
                      KeyValueAdapter& aStore,
                      base::Millis aBackstopPeriod,
                      std::function<void(const tasks::Configuration&)> aOnAdopted);

  /// Sets whether this node keeps a watch open or polls every `aBackstopPeriod` (with jitter).
  void SetWatching(bool aWatching);
  /// Offers a configuration from the platform or a peer; ignored unless its generation is higher.
  void Offer(tasks::Configuration aConfiguration);
  /// Activates the highest configuration offered so far, and later offers at once. Called after the
  /// peers have been asked for theirs: the platform's answer may be older than the configuration
  /// that is active on the peers.
  void Release();
  /// Executes an apply and passes its outcome to `aOnDone`.
  void Apply(tasks::ApplyAsk aAsk, std::function<void(tasks::ApplyAnswer)> aOnDone);

  /// The highest configuration offered so far; it is active once Release was called.
  const tasks::Configuration& Present() const { return m_present; }

private:
  struct ApplyState;
  using ApplyPtr = std::shared_ptr<ApplyState>;

  void Round();
  void OnRead(const KeyValueAdapter::ReadResult& aResult);
  void RoundAfter(base::Millis aPause);
  void ReadForApply(const ApplyPtr& aApply);
  void WriteForApply(const ApplyPtr& aApply, const adapters::platform::KeyValueEntry& aEntry);
  void SettleApply(const ApplyPtr& aApply);
  void EndApply(const ApplyPtr& aApply,
                tasks::ApplyVerdict aVerdict,
                const tasks::Configuration& aPresent);

  adapters::http::EventLoop& m_loop;
  KeyValueAdapter& m_store;
  base::Millis m_backstopPeriod;
  std::function<void(const tasks::Configuration&)> m_onAdopted;
  base::Log m_log;
  tasks::Configuration m_present;
  bool m_released = false;
  uint64_t m_version = 0;
  bool m_watching = true;
  bool m_asking = false;
  adapters::http::WatchPtr m_timer;
};

} // namespace papayafield::node
