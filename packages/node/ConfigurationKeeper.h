#pragma once

#include "base/Log.h"
#include "node/PlatformPorts.h"
#include "tasks/Messages.h"

#include <functional>
#include <map>

namespace papayafield::node {

/// Keeps this node's configuration at the newest generation that the platform or a peer offers, and
/// carries out applies. Belongs to the platform task.
class ConfigurationKeeper {
public:
  /// Calls `aOnAdopted` with each higher generation.
  ConfigurationKeeper(adapters::http::EventLoop& aLoop,
                      KeyValueAdapter& aStore,
                      base::Millis aBackstopPeriod,
                      std::function<void(const tasks::Configuration&)> aOnAdopted);

  /// Whether this node keeps a watch open; the others read now and then.
  void SetWatching(bool aWatching);
  /// A configuration has come from the platform or a peer. Only a higher generation is taken.
  void Offer(tasks::Configuration aConfiguration);
  /// The peers have been asked: from now on what is offered comes into force. Until then the
  /// highest offer waits, since the platform's answer may be older than what is in force at the
  /// peers.
  void Release();
  /// Carries out an apply and reports what became of it.
  void Apply(tasks::ApplyAsk aAsk, std::function<void(tasks::ApplyAnswer)> aOnDone);

  /// The configuration in force here.
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
  adapters::http::EventHandlePtr m_timer;
};

} // namespace papayafield::node
