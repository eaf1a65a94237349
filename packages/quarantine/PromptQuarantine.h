#pragma once

#include "base/EnumNames.h"
#include "quarantine/Report.h"
#include "quarantine/SuccessMemory.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace papayafield::quarantine {

/// Thresholds, time limits and bounds.
struct QuarantineSettings {
  /// Crashes without a later answer after which a part is banned that was never answered.
  size_t m_crashes = 3;
  /// The same for a part that was answered before.
  size_t m_crashesOfProvenPart = 4;
  /// Minimum share of a part in all unexplained crashes since its first one: other parts are lost
  /// with the calls that crash engines. Larger for a part that was answered before.
  double m_minShare = 0.33;
  double m_minShareOfProvenPart = 0.5;
  /// Number of different endpoints among these crashes, and of different calls.
  size_t m_minEndpoints = 2;
  size_t m_minCalls = 2;
  /// Losses of one endpoint within this time are one crash.
  base::Millis m_sameCrash{ 1500 };
  /// A crash counts only after this time, in which the answers that peers received become known.
  base::Millis m_settleTime{ 400 };
  /// The same for a part that was answered before. Longer, so that a ban of the deadly part arrives
  /// before a common part beside it is suspected.
  base::Millis m_settleTimeOfProvenPart{ 1000 };
  /// A part is not banned within this time after an answer.
  base::Millis m_protectionTime{ 1500 };
  /// Evidence older than this is dropped.
  base::Millis m_evidenceLifetime{ 60000 };
  /// Duration of a first ban; each relapse doubles it up to the maximum.
  base::Millis m_ban{ 60000 };
  base::Millis m_maxBan{ 600000 };
  /// Time after a ban in which single calls are let through as trials, and one crash renews the
  /// ban.
  base::Millis m_probation{ 60000 };
  /// The first trials of the nodes are spread over this time, so that one node's result reaches the
  /// others before their own.
  base::Millis m_trialSpread{ 20000 };
  /// Minimum time between two trials of one node.
  base::Millis m_trialInterval{ 5000 };
  /// Bounds on what is remembered. The oldest crash or answer is dropped first. A ban is never
  /// dropped before its end: beyond the bound, no further part is banned.
  size_t m_maxCrashes = 256;
  size_t m_maxBans = 128;
  size_t m_maxSuccesses = 2048;
  /// Maximum number of parts that one call may accuse.
  size_t m_maxAccused = 6;
  /// Bounds on a report, and the time for which a crash is reported.
  size_t m_maxReportedCrashes = 24;
  size_t m_maxReportedSuccesses = 64;
  size_t m_maxReportedBans = 64;
  base::Millis m_reportTime{ 8000 };
};

/// What happened to a ban.
enum class BanChange {
  /// This node decided on it.
  Banned,
  /// A peer decided on it.
  Adopted,
  /// An answer with the part refuted it.
  Lifted,
  /// Its time is over; trials follow.
  Ended,
};

/// A change of a ban, with the evidence for it.
struct BanEvent {
  BanChange m_change = BanChange::Banned;
  std::string m_part;
  int m_level = 1;
  size_t m_crashes = 0;
  size_t m_endpoints = 0;
  size_t m_calls = 0;
  base::Millis m_remaining{ 0 };
};

/// Why a call is refused.
struct Refusal {
  std::string m_part;
  int m_level = 1;
  /// Time since the ban began.
  base::Millis m_age{ 0 };
  /// Time until calls with the part are accepted again, at the earliest.
  base::Millis m_remaining{ 0 };
};

/// Tracks which prompt parts crash the engines that begin to answer them. A part is banned when
/// several endpoints were lost at the beginning of an answer to it and none has answered a call
/// with it since, over all nodes. Each node decides alone, from its own evidence and its peers'.
/// Not thread safe.
class PromptQuarantine {
public:
  /// `aSeed` differs between nodes.
  PromptQuarantine(QuarantineSettings aSettings, uint64_t aSeed);

  /// Returns the key of a part: its identifier, or a digest of one that is long or has unusual
  /// characters. Thread safe.
  static std::string KeyOf(std::string_view aPartId);

  /// Records that an endpoint was lost while it began to answer a call with the parts
  /// `aCrash.m_parts`. Returns the recorded crash, with the parts that it accuses; nullopt if it
  /// accuses none or is known already.
  std::optional<CrashReport> RecordCrash(CrashReport aCrash, base::TimePoint aNow);
  /// Records that an answer to a call with `aParts` began at `aBegan` and went on.
  void RecordSuccess(const std::vector<std::string>& aParts,
                     base::TimePoint aBegan,
                     base::TimePoint aNow);
  /// Returns whether a call with `aParts` must not be sent, and starts a trial if one is due.
  std::optional<Refusal> Check(const std::vector<std::string>& aParts, base::TimePoint aNow);
  /// Returns the same as `Check` without starting a trial.
  std::optional<Refusal> Peek(const std::vector<std::string>& aParts, base::TimePoint aNow) const;
  /// Merges a peer's report. Returns whether it contained new evidence.
  bool Merge(const Report& aReport, base::TimePoint aNow);
  /// Returns what peers need to know.
  Report MakeReport(base::TimePoint aNow) const;
  /// Evaluates the evidence and returns all changes since the last call.
  std::vector<BanEvent> Update(base::TimePoint aNow);
  /// Returns whether any part is banned or on probation, or was lately.
  bool HasBans() const { return !m_bans.empty(); }
  /// Returns the number of bans in force.
  size_t BannedCount(base::TimePoint aNow) const;
  /// Returns the number of crashes that are remembered.
  size_t CrashCount() const { return m_crashes.size(); }

private:
  struct Crash {
    std::string m_endpoint;
    std::string m_call;
    std::vector<std::string> m_parts;
    base::TimePoint m_at;
    base::TimePoint m_learned;

    /// Returns a hash of the endpoint and the call.
    uint64_t Id() const;
  };
  struct Ban {
    int m_level = 1;
    base::TimePoint m_since;
    base::TimePoint m_until;
    bool m_lifted = false;
    bool m_endReported = false;
    std::optional<base::TimePoint> m_lastTrial;
  };
  /// Losses of one endpoint at one time.
  struct CrashGroup {
    std::string_view m_endpoint;
    base::TimePoint m_at;
    /// Whether a banned part accounts for it: one of a call that the endpoint was answering.
    bool m_explained = false;
  };
  /// Evidence against one part.
  struct Suspicion {
    /// Indices of the crash groups.
    std::set<size_t> m_crashes;
    std::set<std::string_view> m_endpoints;
    std::set<std::string_view> m_calls;
    /// Time of the latest of these crashes, and number of all crashes since the first of them.
    base::TimePoint m_latest{};
    size_t m_allCrashes = 0;
    bool m_proven = false;
    base::TimePoint m_lastSuccess{};
  };

  bool AddCrash(Crash aCrash, base::TimePoint aNow);
  void RemoveOldestCrash();
  bool IsInForce(const Ban& aBan, base::TimePoint aNow) const;
  bool IsOnProbation(const Ban& aBan, base::TimePoint aNow) const;
  bool HasBannedPart(const Crash& aCrash) const;
  std::vector<CrashGroup> GroupCrashes(std::vector<size_t>& aGroupOfCrash) const;
  std::map<std::string, Suspicion> Suspicions(base::TimePoint aNow) const;
  bool HasEnoughEvidence(const Suspicion& aSuspicion) const;
  bool IsProtected(const Suspicion& aSuspicion, base::TimePoint aNow) const;
  bool IsRelapse(const std::string& aPart, const Suspicion& aSuspicion, base::TimePoint aNow) const;
  bool IsGuilty(const std::string& aPart,
                const Suspicion& aSuspicion,
                const std::map<std::string, Suspicion>& aAll,
                base::TimePoint aNow) const;
  std::vector<std::string> SelectGuilty(const std::map<std::string, Suspicion>& aSuspicions,
                                        base::TimePoint aNow) const;
  void StartBan(const std::string& aPart, const Suspicion& aSuspicion, base::TimePoint aNow);
  void AdoptBan(const BanReport& aReport, base::TimePoint aNow);
  void LiftBan(const std::string& aPart, base::TimePoint aBegan, base::TimePoint aNow);
  void RemoveOld(base::TimePoint aNow);
  void AddEvent(BanChange aChange,
                const std::string& aPart,
                const Ban& aBan,
                const Suspicion& aSuspicion,
                base::TimePoint aNow);
  std::vector<std::string> SelectAccused(const std::vector<std::string>& aParts) const;

  const QuarantineSettings m_settings;
  /// Delay of this node's first trial after a ban.
  const base::Millis m_trialDelay;
  /// In the order in which they became known.
  std::deque<Crash> m_crashes;
  std::unordered_set<uint64_t> m_crashIds;
  std::map<std::string, Ban> m_bans;
  SuccessMemory m_successes;
  std::vector<BanEvent> m_events;
};

} // namespace papayafield::quarantine

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<quarantine::BanChange> =
  std::to_array<EnumName<quarantine::BanChange>>({
    { quarantine::BanChange::Banned, "banned" },
    { quarantine::BanChange::Adopted, "adopted" },
    { quarantine::BanChange::Lifted, "lifted" },
    { quarantine::BanChange::Ended, "ended" },
  });

} // namespace papayafield::base
