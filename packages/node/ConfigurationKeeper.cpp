#include "node/ConfigurationKeeper.h"

#include <random>

namespace papayafield::node {

namespace {

using adapters::platform::KeyValueEntry;
using adapters::platform::KeyValueFault;
using tasks::ApplyVerdict;
using tasks::ParseConfiguration;
using tasks::SerializeConfiguration;

constexpr char kManifestKey[] = "papayafield/manifest";
/// Long-poll timeout of a watch at the key-value service.
constexpr base::Millis kWatchTimeout{ 10000 };
/// Mean delay before the next read after a failed one, or while no configuration exists.
constexpr base::Millis kRetryDelay{ 500 };
/// Maximum number of reads to find out whether a write with a lost answer took effect, and the
/// delay between them.
constexpr int kMaxResolveReads = 5;
constexpr base::Millis kResolveDelay{ 200 };

/// Returns a random duration within 50% of `aMean`, so that the nodes do not call all at once.
base::Millis Jittered(base::Millis aMean) {
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  std::uniform_int_distribution<int64_t> distribution(aMean.count() / 2, aMean.count() * 3 / 2);
  return base::Millis(distribution(generator));
}

} // namespace

/// An apply in progress.
struct ConfigurationKeeper::ApplyState {
  tasks::ApplyRequest m_applyRequest;
  std::function<void(tasks::ApplyResponse)> m_onDone;
  tasks::Configuration m_proposed;
  int m_resolveReads = 0;
  adapters::http::EventHandlePtr m_timer;
};

ConfigurationKeeper::ConfigurationKeeper(
  adapters::http::EventLoop& aLoop,
  KeyValueAdapter& aStore,
  base::Millis aBackstopPeriod,
  std::function<void(const tasks::Configuration&)> aOnActivated)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_backstopPeriod(aBackstopPeriod)
  , m_onActivated(std::move(aOnActivated))
  , m_log("configuration") {
  ScheduleRead(base::Millis(0));
}

void ConfigurationKeeper::SetWatching(bool aWatching) {
  if (aWatching && !m_watching && !m_readInFlight) {
    ScheduleRead(base::Millis(0));
  }
  m_watching = aWatching;
}

void ConfigurationKeeper::ScheduleRead(base::Millis aDelay) {
  m_timer = m_loop.After(aDelay, [this] { ReadConfiguration(); });
}

void ConfigurationKeeper::ReadConfiguration() {
  m_readInFlight = true;
  const auto onDone = [this](const auto& aResult) { OnRead(aResult); };
  if (m_watching && m_version != 0) {
    m_store.Watch(kManifestKey, m_version, kWatchTimeout, onDone);
  } else {
    m_store.Read(kManifestKey, onDone);
  }
}

void ConfigurationKeeper::OnRead(const KeyValueAdapter::ReadResult& aResult) {
  m_readInFlight = false;
  if (!aResult) {
    ScheduleRead(Jittered(kRetryDelay));
    return;
  }
  if (aResult->m_version != 0) {
    m_version = aResult->m_version;
    if (auto configuration = ParseConfiguration(aResult->m_value)) {
      Offer(std::move(*configuration));
    } else {
      m_log.Error("Invalid configuration in the key-value service ignored.");
    }
  }
  const bool watchAgain = m_watching && m_version != 0;
  ScheduleRead(watchAgain ? base::Millis(0)
                          : Jittered(m_watching ? kRetryDelay : m_backstopPeriod));
}

void ConfigurationKeeper::Offer(tasks::Configuration aConfiguration) {
  if (aConfiguration.m_generation <= m_latest.m_generation) {
    return;
  }
  m_latest = std::move(aConfiguration);
  if (m_activated) {
    m_onActivated(m_latest);
  }
}

void ConfigurationKeeper::Activate() {
  if (!std::exchange(m_activated, true) && m_latest.m_generation > 0) {
    m_onActivated(m_latest);
  }
}

void ConfigurationKeeper::Apply(tasks::ApplyRequest aRequest,
                                std::function<void(tasks::ApplyResponse)> aOnDone) {
  const auto apply = std::make_shared<ApplyState>();
  apply->m_applyRequest = std::move(aRequest);
  apply->m_onDone = std::move(aOnDone);
  ReadForApply(apply);
}

void ConfigurationKeeper::ReadForApply(const ApplyPtr& aApply) {
  m_store.Read(kManifestKey, [this, aApply](const auto& aResult) {
    if (!aResult) {
      // Nothing was written, so the operator may retry.
      CompleteApply(aApply, ApplyVerdict::Unavailable, m_latest);
      return;
    }
    WriteForApply(aApply, *aResult);
  });
}

void ConfigurationKeeper::WriteForApply(const ApplyPtr& aApply, const KeyValueEntry& aEntry) {
  const tasks::Configuration stored =
    ParseConfiguration(aEntry.m_value).value_or(tasks::Configuration{});
  // A retry of an apply whose answer was lost: it has already been accepted.
  if (stored.m_generation > 0 && stored.m_applyId == aApply->m_applyRequest.m_applyId) {
    Offer(stored);
    CompleteApply(aApply, ApplyVerdict::Accepted, stored);
    return;
  }
  if (stored.m_generation != aApply->m_applyRequest.m_baseGeneration) {
    CompleteApply(aApply, ApplyVerdict::Conflict, stored);
    return;
  }
  tasks::Configuration proposed;
  proposed.m_generation = stored.m_generation + 1;
  proposed.m_applyId = aApply->m_applyRequest.m_applyId;
  proposed.m_setBy = aApply->m_applyRequest.m_setBy;
  proposed.m_text = aApply->m_applyRequest.m_text;
  aApply->m_proposed = *ParseConfiguration(SerializeConfiguration(proposed));
  m_store.CompareAndSwap(kManifestKey,
                         SerializeConfiguration(proposed),
                         aEntry.m_version,
                         "",
                         [this, aApply](const auto& aResult) {
                           if (aResult) {
                             Offer(aApply->m_proposed);
                             CompleteApply(aApply, ApplyVerdict::Accepted, aApply->m_proposed);
                           } else if (aResult.error() == KeyValueFault::Unavailable) {
                             CompleteApply(aApply, ApplyVerdict::Unavailable, m_latest);
                           } else {
                             // Either another operator's write came first or the answer was lost;
                             // read back to find out.
                             ResolveAmbiguousApply(aApply);
                           }
                         });
}

void ConfigurationKeeper::ResolveAmbiguousApply(const ApplyPtr& aApply) {
  m_store.Read(kManifestKey, [this, aApply](const auto& aResult) {
    if (!aResult) {
      if (++aApply->m_resolveReads >= kMaxResolveReads) {
        CompleteApply(aApply, ApplyVerdict::Unknown, m_latest);
        return;
      }
      aApply->m_timer =
        m_loop.After(kResolveDelay, [this, aApply] { ResolveAmbiguousApply(aApply); });
      return;
    }
    const tasks::Configuration stored =
      ParseConfiguration(aResult->m_value).value_or(tasks::Configuration{});
    Offer(stored);
    if (stored.m_applyId == aApply->m_applyRequest.m_applyId) {
      CompleteApply(aApply, ApplyVerdict::Accepted, stored);
    } else if (stored.m_generation == aApply->m_applyRequest.m_baseGeneration) {
      // The write may still be in flight.
      CompleteApply(aApply, ApplyVerdict::Unknown, stored);
    } else {
      // A higher generation may be based on this apply or on another one; the operator has to look
      // at who set it.
      const bool mayIncludeOurs = stored.m_generation > aApply->m_proposed.m_generation;
      CompleteApply(
        aApply, mayIncludeOurs ? ApplyVerdict::Unknown : ApplyVerdict::Conflict, stored);
    }
  });
}

void ConfigurationKeeper::CompleteApply(const ApplyPtr& aApply,
                                        ApplyVerdict aVerdict,
                                        const tasks::Configuration& aConfiguration) {
  m_log.Info("Apply " + aApply->m_applyRequest.m_applyId + " by " + aApply->m_applyRequest.m_setBy +
             ": " + std::string(base::NameOf(aVerdict)) + ".");
  aApply->m_onDone({ aApply->m_applyRequest.m_request,
                     aVerdict,
                     aConfiguration.m_generation,
                     aConfiguration.m_setBy });
}

} // namespace papayafield::node
