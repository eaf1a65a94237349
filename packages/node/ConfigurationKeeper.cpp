#include "node/ConfigurationKeeper.h"

#include <random>

namespace papayafield::node {

namespace {

using adapters::platform::KeyValueEntry;
using adapters::platform::KeyValueFault;
using tasks::ApplyVerdict;
using tasks::ConfigurationText;
using tasks::ParseConfiguration;

constexpr char kKey[] = "papayafield/manifest";
/// How long a watch waits at the service.
constexpr base::Millis kWatchWait{ 10000 };
/// Pause after a failed call.
constexpr base::Millis kPauseAfterFault{ 500 };
/// Reads made to settle a lost answer, and the pause between them.
constexpr int kSettleReads = 5;
constexpr base::Millis kSettlePause{ 200 };

/// A span of `aMean`, give or take half, so that nodes do not call all at once.
base::Millis Jittered(base::Millis aMean) {
  thread_local std::mt19937_64 generator{ std::random_device{}() };
  std::uniform_int_distribution<int64_t> spread(aMean.count() / 2, aMean.count() * 3 / 2);
  return base::Millis(spread(generator));
}

} // namespace

/// An apply under way.
struct ConfigurationKeeper::ApplyState {
  tasks::ApplyAsk m_ask;
  std::function<void(tasks::ApplyAnswer)> m_onDone;
  tasks::Configuration m_wanted;
  int m_settleReads = 0;
  adapters::http::WatchPtr m_timer;
};

ConfigurationKeeper::ConfigurationKeeper(
  adapters::http::EventLoop& aLoop,
  KeyValueAdapter& aStore,
  base::Millis aBackstopPeriod,
  std::function<void(const tasks::Configuration&)> aOnAdopted)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_backstopPeriod(aBackstopPeriod)
  , m_onAdopted(std::move(aOnAdopted))
  , m_log("configuration") {
  RoundAfter(base::Millis(0));
}

void ConfigurationKeeper::SetWatching(bool aWatching) {
  if (aWatching && !m_watching && !m_asking) {
    RoundAfter(base::Millis(0));
  }
  m_watching = aWatching;
}

void ConfigurationKeeper::RoundAfter(base::Millis aPause) {
  m_timer = m_loop.After(aPause, [this] { Round(); });
}

void ConfigurationKeeper::Round() {
  m_asking = true;
  const auto onDone = [this](const auto& aResult) { OnRead(aResult); };
  if (m_watching && m_version != 0) {
    m_store.Watch(kKey, m_version, kWatchWait, onDone);
  } else {
    m_store.Read(kKey, onDone);
  }
}

void ConfigurationKeeper::OnRead(const KeyValueAdapter::ReadResult& aResult) {
  m_asking = false;
  if (!aResult) {
    RoundAfter(Jittered(kPauseAfterFault));
    return;
  }
  if (aResult->m_version != 0) {
    m_version = aResult->m_version;
    if (auto configuration = ParseConfiguration(aResult->m_value)) {
      Offer(std::move(*configuration));
    } else {
      m_log.Error("The manifest in the platform cannot be read.");
    }
  }
  const bool again = m_watching && m_version != 0;
  RoundAfter(again ? base::Millis(0) : Jittered(m_watching ? kPauseAfterFault : m_backstopPeriod));
}

void ConfigurationKeeper::Offer(tasks::Configuration aConfiguration) {
  if (aConfiguration.m_generation <= m_present.m_generation) {
    return;
  }
  m_present = std::move(aConfiguration);
  if (m_released) {
    m_onAdopted(m_present);
  }
}

void ConfigurationKeeper::Release() {
  if (!std::exchange(m_released, true) && m_present.m_generation > 0) {
    m_onAdopted(m_present);
  }
}

void ConfigurationKeeper::Apply(tasks::ApplyAsk aAsk,
                                std::function<void(tasks::ApplyAnswer)> aOnDone) {
  const auto apply = std::make_shared<ApplyState>();
  apply->m_ask = std::move(aAsk);
  apply->m_onDone = std::move(aOnDone);
  ReadForApply(apply);
}

void ConfigurationKeeper::ReadForApply(const ApplyPtr& aApply) {
  m_store.Read(kKey, [this, aApply](const auto& aResult) {
    if (!aResult) {
      // Nothing was written.
      EndApply(aApply, ApplyVerdict::Unavailable, m_present);
      return;
    }
    WriteForApply(aApply, *aResult);
  });
}

void ConfigurationKeeper::WriteForApply(const ApplyPtr& aApply, const KeyValueEntry& aEntry) {
  const tasks::Configuration present =
    ParseConfiguration(aEntry.m_value).value_or(tasks::Configuration{});
  // The same apply, asked again after a lost answer, has been accepted already.
  if (present.m_generation > 0 && present.m_applyId == aApply->m_ask.m_applyId) {
    Offer(present);
    EndApply(aApply, ApplyVerdict::Accepted, present);
    return;
  }
  if (present.m_generation != aApply->m_ask.m_base) {
    EndApply(aApply, ApplyVerdict::Conflict, present);
    return;
  }
  tasks::Configuration wanted;
  wanted.m_generation = present.m_generation + 1;
  wanted.m_applyId = aApply->m_ask.m_applyId;
  wanted.m_setBy = aApply->m_ask.m_setBy;
  wanted.m_text = aApply->m_ask.m_text;
  aApply->m_wanted = *ParseConfiguration(ConfigurationText(wanted));
  m_store.CompareAndSwap(
    kKey, ConfigurationText(wanted), aEntry.m_version, "", [this, aApply](const auto& aResult) {
      if (aResult) {
        Offer(aApply->m_wanted);
        EndApply(aApply, ApplyVerdict::Accepted, aApply->m_wanted);
      } else if (aResult.error() == KeyValueFault::Unavailable) {
        EndApply(aApply, ApplyVerdict::Unavailable, m_present);
      } else {
        // Lost to another operator, or the answer was lost: look which.
        SettleApply(aApply);
      }
    });
}

void ConfigurationKeeper::SettleApply(const ApplyPtr& aApply) {
  m_store.Read(kKey, [this, aApply](const auto& aResult) {
    if (!aResult) {
      if (++aApply->m_settleReads >= kSettleReads) {
        EndApply(aApply, ApplyVerdict::Unknown, m_present);
        return;
      }
      aApply->m_timer = m_loop.After(kSettlePause, [this, aApply] { SettleApply(aApply); });
      return;
    }
    const tasks::Configuration present =
      ParseConfiguration(aResult->m_value).value_or(tasks::Configuration{});
    Offer(present);
    if (present.m_applyId == aApply->m_ask.m_applyId) {
      EndApply(aApply, ApplyVerdict::Accepted, present);
    } else if (present.m_generation == aApply->m_ask.m_base) {
      // The write may still be on its way.
      EndApply(aApply, ApplyVerdict::Unknown, present);
    } else {
      // A later generation may stand on ours or on another's: the operator looks at who set it.
      const bool ours = present.m_generation > aApply->m_wanted.m_generation;
      EndApply(aApply, ours ? ApplyVerdict::Unknown : ApplyVerdict::Conflict, present);
    }
  });
}

void ConfigurationKeeper::EndApply(const ApplyPtr& aApply,
                                   ApplyVerdict aVerdict,
                                   const tasks::Configuration& aPresent) {
  m_log.Info("Apply " + aApply->m_ask.m_applyId + " by " + aApply->m_ask.m_setBy + ": " +
             std::string(base::NameOf(aVerdict)) + ".");
  aApply->m_onDone({ aApply->m_ask.m_request, aVerdict, aPresent.m_generation, aPresent.m_setBy });
}

} // namespace papayafield::node
