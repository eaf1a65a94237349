#include "quarantine/PromptQuarantine.h"

#include "base/Digest.h"

#include <algorithm>
#include <cctype>
#include <tuple>
#include <utility>

namespace papayafield::quarantine {

using base::Millis;
using base::TimePoint;

namespace {

/// Maximum length of a part's identifier that is used as its key.
constexpr size_t kMaxKeyLength = 32;
/// Highest accepted level of a ban; its duration reaches the maximum long before.
constexpr int kMaxLevel = 16;

Millis Elapsed(TimePoint aSince, TimePoint aNow) {
  return std::chrono::duration_cast<Millis>(aNow - aSince);
}

bool Contains(const std::vector<std::string>& aList, const std::string& aItem) {
  return std::find(aList.begin(), aList.end(), aItem) != aList.end();
}

} // namespace

PromptQuarantine::PromptQuarantine(QuarantineSettings aSettings, uint64_t aSeed)
  : m_settings(aSettings)
  , m_trialDelay(aSeed % static_cast<uint64_t>(aSettings.m_trialSpread.count()))
  , m_successes(aSettings.m_maxSuccesses) {}

std::string PromptQuarantine::KeyOf(std::string_view aPartId) {
  const bool isPlain = std::all_of(aPartId.begin(), aPartId.end(), [](char aCharacter) {
    return std::isalnum(static_cast<unsigned char>(aCharacter)) != 0 || aCharacter == '-' ||
           aCharacter == '_';
  });
  // A digest is longer than any plain key, so that no identifier can equal another one's digest.
  return isPlain && !aPartId.empty() && aPartId.size() <= kMaxKeyLength
           ? std::string(aPartId)
           : base::Sha256Hex(aPartId).substr(0, kMaxKeyLength + 8);
}

bool PromptQuarantine::IsInForce(const Ban& aBan, TimePoint aNow) const {
  return !aBan.m_lifted && aNow < aBan.m_until;
}

bool PromptQuarantine::IsOnProbation(const Ban& aBan, TimePoint aNow) const {
  return !aBan.m_lifted && aNow >= aBan.m_until && aNow < aBan.m_until + m_settings.m_probation;
}

/// Returns whether a part of the call was banned when the endpoint crashed, or was banned for that
/// crash. Evidence for a ban that has ended counts no more.
bool PromptQuarantine::HasBannedPart(const Crash& aCrash) const {
  return std::any_of(aCrash.m_parts.begin(), aCrash.m_parts.end(), [&](const auto& aPart) {
    const auto ban = m_bans.find(aPart);
    return ban != m_bans.end() && !ban->second.m_lifted && aCrash.m_at < ban->second.m_until;
  });
}

std::vector<std::string> PromptQuarantine::SelectAccused(
  const std::vector<std::string>& aParts) const {
  std::vector<std::string> parts;
  for (const std::string& part : aParts) {
    if (!Contains(parts, part)) {
      parts.push_back(part);
    }
  }
  // Parts that were answered the longest ago or never are the likeliest causes.
  std::stable_sort(parts.begin(), parts.end(), [&](const auto& aLeft, const auto& aRight) {
    const auto* left = m_successes.Find(aLeft);
    const auto* right = m_successes.Find(aRight);
    return (left == nullptr ? TimePoint{} : left->m_latest) <
           (right == nullptr ? TimePoint{} : right->m_latest);
  });
  parts.resize(std::min(parts.size(), m_settings.m_maxAccused));
  return parts;
}

uint64_t PromptQuarantine::Crash::Id() const {
  return base::Hash64(m_call, base::Hash64(m_endpoint));
}

bool PromptQuarantine::AddCrash(Crash aCrash, TimePoint aNow) {
  if (aCrash.m_parts.empty() || Elapsed(aCrash.m_at, aNow) >= m_settings.m_evidenceLifetime ||
      !m_crashIds.insert(aCrash.Id()).second) {
    return false;
  }
  if (m_crashes.size() >= m_settings.m_maxCrashes) {
    RemoveOldestCrash();
  }
  m_crashes.push_back(std::move(aCrash));
  return true;
}

void PromptQuarantine::RemoveOldestCrash() {
  m_crashIds.erase(m_crashes.front().Id());
  m_crashes.pop_front();
}

std::optional<CrashReport> PromptQuarantine::RecordCrash(CrashReport aCrash, TimePoint aNow) {
  aCrash.m_parts = SelectAccused(aCrash.m_parts);
  const TimePoint at = aNow - aCrash.m_age;
  if (!AddCrash({ aCrash.m_endpoint, aCrash.m_call, aCrash.m_parts, at, aNow }, aNow)) {
    return std::nullopt;
  }
  return aCrash;
}

void PromptQuarantine::RecordSuccess(const std::vector<std::string>& aParts,
                                     TimePoint aBegan,
                                     TimePoint aNow) {
  for (const std::string& part : aParts) {
    m_successes.Record(part, aBegan, true);
    LiftBan(part, aBegan, aNow);
  }
}

void PromptQuarantine::LiftBan(const std::string& aPart, TimePoint aBegan, TimePoint aNow) {
  const auto ban = m_bans.find(aPart);
  if (ban == m_bans.end() || ban->second.m_lifted || aBegan <= ban->second.m_since) {
    return;
  }
  ban->second.m_lifted = true;
  AddEvent(BanChange::Lifted, aPart, ban->second, {}, aNow);
}

std::optional<Refusal> PromptQuarantine::Peek(const std::vector<std::string>& aParts,
                                              TimePoint aNow) const {
  for (const std::string& part : aParts) {
    const auto found = m_bans.find(part);
    if (found == m_bans.end()) {
      continue;
    }
    const Ban& ban = found->second;
    TimePoint next = ban.m_until;
    if (IsOnProbation(ban, aNow)) {
      next = ban.m_lastTrial ? *ban.m_lastTrial + m_settings.m_trialInterval
                             : ban.m_until + m_trialDelay;
    } else if (!IsInForce(ban, aNow)) {
      continue;
    }
    if (aNow < next) {
      return Refusal{ part, ban.m_level, Elapsed(ban.m_since, aNow), Elapsed(aNow, next) };
    }
  }
  return std::nullopt;
}

std::optional<Refusal> PromptQuarantine::Check(const std::vector<std::string>& aParts,
                                               TimePoint aNow) {
  if (auto refusal = Peek(aParts, aNow)) {
    return refusal;
  }
  for (const std::string& part : aParts) {
    const auto found = m_bans.find(part);
    if (found != m_bans.end() && IsOnProbation(found->second, aNow)) {
      found->second.m_lastTrial = aNow;
    }
  }
  return std::nullopt;
}

void PromptQuarantine::AdoptBan(const BanReport& aReport, TimePoint aNow) {
  const TimePoint since = aNow - aReport.m_age;
  const auto* success = m_successes.Find(aReport.m_part);
  const auto known = m_bans.find(aReport.m_part);
  // A ban of the same level is the same one, whoever decided on it: it is not prolonged.
  const bool isKnown = known != m_bans.end() && known->second.m_level >= aReport.m_level;
  const bool isRefuted = success != nullptr && success->m_latest > since;
  if (isKnown || isRefuted || aReport.m_remaining <= Millis(0) || aReport.m_level < 1 ||
      (known == m_bans.end() && m_bans.size() >= m_settings.m_maxBans)) {
    return;
  }
  Ban ban;
  ban.m_level = std::min(aReport.m_level, kMaxLevel);
  ban.m_since = since;
  ban.m_until = aNow + std::min(aReport.m_remaining, m_settings.m_maxBan);
  AddEvent(BanChange::Adopted, aReport.m_part, ban, {}, aNow);
  m_bans[aReport.m_part] = ban;
}

bool PromptQuarantine::Merge(const Report& aReport, TimePoint aNow) {
  bool isNew = false;
  for (const SuccessReport& success : aReport.m_successes) {
    const TimePoint began = aNow - success.m_age;
    m_successes.Record(success.m_part, began, false);
    LiftBan(success.m_part, began, aNow);
  }
  for (const CrashReport& crash : aReport.m_crashes) {
    std::vector<std::string> parts = crash.m_parts;
    parts.resize(std::min(parts.size(), m_settings.m_maxAccused));
    isNew = AddCrash({ crash.m_endpoint, crash.m_call, std::move(parts), aNow - crash.m_age, aNow },
                     aNow) ||
            isNew;
  }
  for (const BanReport& ban : aReport.m_bans) {
    AdoptBan(ban, aNow);
  }
  return isNew;
}

Report PromptQuarantine::MakeReport(TimePoint aNow) const {
  Report report;
  std::set<std::string_view> parts;
  for (auto crash = m_crashes.rbegin(); crash != m_crashes.rend(); ++crash) {
    const Millis age = Elapsed(crash->m_at, aNow);
    if (report.m_crashes.size() < m_settings.m_maxReportedCrashes &&
        age < m_settings.m_reportTime) {
      report.m_crashes.push_back({ crash->m_endpoint, crash->m_call, crash->m_parts, age });
      parts.insert(crash->m_parts.begin(), crash->m_parts.end());
    }
  }
  for (const auto& [part, ban] : m_bans) {
    parts.insert(part);
    if (report.m_bans.size() < m_settings.m_maxReportedBans && IsInForce(ban, aNow)) {
      report.m_bans.push_back(
        { part, ban.m_level, Elapsed(ban.m_since, aNow), Elapsed(aNow, ban.m_until) });
    }
  }
  std::vector<SuccessReport> successes;
  for (const std::string_view part : parts) {
    const auto* success = m_successes.Find(part);
    if (success != nullptr && success->m_own &&
        Elapsed(*success->m_own, aNow) < m_settings.m_evidenceLifetime) {
      successes.push_back({ std::string(part), Elapsed(*success->m_own, aNow) });
    }
  }
  std::sort(successes.begin(), successes.end(), [](const auto& aLeft, const auto& aRight) {
    return std::tie(aLeft.m_age, aLeft.m_part) < std::tie(aRight.m_age, aRight.m_part);
  });
  successes.resize(std::min(successes.size(), m_settings.m_maxReportedSuccesses));
  report.m_successes = std::move(successes);
  return report;
}

/// Returns the crashes of endpoints, each of which may have ended several calls.
std::vector<PromptQuarantine::CrashGroup> PromptQuarantine::GroupCrashes(
  std::vector<size_t>& aGroupOfCrash) const {
  std::vector<CrashGroup> groups;
  std::map<std::string_view, std::vector<size_t>> byEndpoint;
  for (const Crash& crash : m_crashes) {
    std::vector<size_t>& known = byEndpoint[crash.m_endpoint];
    const auto same = std::find_if(known.begin(), known.end(), [&](size_t aGroup) {
      return std::chrono::abs(groups[aGroup].m_at - crash.m_at) <= m_settings.m_sameCrash;
    });
    const size_t group = same == known.end() ? groups.size() : *same;
    if (same == known.end()) {
      groups.push_back({ crash.m_endpoint, crash.m_at });
      known.push_back(group);
    }
    groups[group].m_explained = groups[group].m_explained || HasBannedPart(crash);
    aGroupOfCrash.push_back(group);
  }
  return groups;
}

/// Returns the evidence against each part: the crashes that no banned part accounts for and that no
/// answer has followed.
std::map<std::string, PromptQuarantine::Suspicion> PromptQuarantine::Suspicions(
  TimePoint aNow) const {
  std::vector<size_t> groupOfCrash;
  const std::vector<CrashGroup> groups = GroupCrashes(groupOfCrash);
  std::map<std::string, Suspicion> suspicions;
  for (size_t i = 0; i < m_crashes.size(); ++i) {
    const Crash& crash = m_crashes[i];
    if (groups[groupOfCrash[i]].m_explained) {
      continue;
    }
    for (const std::string& part : crash.m_parts) {
      const auto* success = m_successes.Find(part);
      const Millis settleTime =
        success == nullptr ? m_settings.m_settleTime : m_settings.m_settleTimeOfProvenPart;
      if (Elapsed(crash.m_learned, aNow) < settleTime ||
          (success != nullptr && success->m_latest >= crash.m_at)) {
        continue;
      }
      Suspicion& suspicion = suspicions[part];
      suspicion.m_proven = success != nullptr;
      suspicion.m_lastSuccess = success == nullptr ? TimePoint{} : success->m_latest;
      suspicion.m_latest = std::max(suspicion.m_latest, crash.m_at);
      suspicion.m_calls.insert(crash.m_call);
      suspicion.m_endpoints.insert(crash.m_endpoint);
      suspicion.m_crashes.insert(groupOfCrash[i]);
    }
  }
  for (auto& [part, suspicion] : suspicions) {
    TimePoint first = aNow;
    for (const size_t group : suspicion.m_crashes) {
      first = std::min(first, groups[group].m_at);
    }
    suspicion.m_allCrashes = static_cast<size_t>(
      std::count_if(groups.begin(), groups.end(), [&](const CrashGroup& aGroup) {
        return !aGroup.m_explained && aGroup.m_at >= first;
      }));
  }
  return suspicions;
}

bool PromptQuarantine::HasEnoughEvidence(const Suspicion& aSuspicion) const {
  const size_t crashes = aSuspicion.m_crashes.size();
  const size_t minCrashes =
    aSuspicion.m_proven ? m_settings.m_crashesOfProvenPart : m_settings.m_crashes;
  const double minShare =
    aSuspicion.m_proven ? m_settings.m_minShareOfProvenPart : m_settings.m_minShare;
  return crashes >= minCrashes &&
         static_cast<double>(crashes) >= static_cast<double>(aSuspicion.m_allCrashes) * minShare &&
         aSuspicion.m_endpoints.size() >= m_settings.m_minEndpoints &&
         aSuspicion.m_calls.size() >= m_settings.m_minCalls;
}

bool PromptQuarantine::IsProtected(const Suspicion& aSuspicion, TimePoint aNow) const {
  return aSuspicion.m_proven &&
         Elapsed(aSuspicion.m_lastSuccess, aNow) < m_settings.m_protectionTime;
}

bool PromptQuarantine::IsRelapse(const std::string& aPart,
                                 const Suspicion& aSuspicion,
                                 TimePoint aNow) const {
  const auto ban = m_bans.find(aPart);
  return ban != m_bans.end() && IsOnProbation(ban->second, aNow) &&
         aSuspicion.m_latest >= ban->second.m_until;
}

bool PromptQuarantine::IsGuilty(const std::string& aPart,
                                const Suspicion& aSuspicion,
                                const std::map<std::string, Suspicion>& aAll,
                                TimePoint aNow) const {
  if (IsRelapse(aPart, aSuspicion, aNow)) {
    return true;
  }
  if (!HasEnoughEvidence(aSuspicion) || IsProtected(aSuspicion, aNow)) {
    return false;
  }
  // Waits while a part that accounts for all of these crashes and more may still be answered.
  return std::none_of(aAll.begin(), aAll.end(), [&](const auto& aEntry) {
    const Suspicion& other = aEntry.second;
    return other.m_crashes.size() > aSuspicion.m_crashes.size() && HasEnoughEvidence(other) &&
           IsProtected(other, aNow) &&
           std::includes(other.m_crashes.begin(),
                         other.m_crashes.end(),
                         aSuspicion.m_crashes.begin(),
                         aSuspicion.m_crashes.end());
  });
}

/// Returns the part that most likely caused the crashes; several if the evidence is the same.
std::vector<std::string> PromptQuarantine::SelectGuilty(
  const std::map<std::string, Suspicion>& aSuspicions,
  TimePoint aNow) const {
  // A part on probation comes first, then one that was never answered, then the one with the most
  // crashes, then the one that was answered the longest ago.
  const auto rank = [&](const std::string& aPart) {
    const Suspicion& suspicion = aSuspicions.at(aPart);
    return std::make_tuple(!IsRelapse(aPart, suspicion, aNow),
                           suspicion.m_proven,
                           -static_cast<int64_t>(suspicion.m_crashes.size()),
                           suspicion.m_lastSuccess,
                           -static_cast<int64_t>(suspicion.m_calls.size()));
  };
  std::vector<std::string> guilty;
  for (const auto& [part, suspicion] : aSuspicions) {
    if (!IsGuilty(part, suspicion, aSuspicions, aNow)) {
      continue;
    }
    if (!guilty.empty() && rank(part) < rank(guilty.front())) {
      guilty.clear();
    }
    if (guilty.empty() || rank(part) == rank(guilty.front())) {
      guilty.push_back(part);
    }
  }
  return guilty;
}

void PromptQuarantine::StartBan(const std::string& aPart,
                                const Suspicion& aSuspicion,
                                TimePoint aNow) {
  const auto previous = m_bans.find(aPart);
  Ban ban;
  if (previous != m_bans.end()) {
    ban.m_level = std::min(previous->second.m_level + 1, kMaxLevel);
  }
  const bool isRelapse = previous != m_bans.end() && !previous->second.m_lifted;
  Millis duration = m_settings.m_ban;
  for (int level = 1; isRelapse && level < ban.m_level; ++level) {
    duration = std::min(duration * 2, m_settings.m_maxBan);
  }
  ban.m_since = aNow;
  ban.m_until = aNow + duration;
  AddEvent(BanChange::Banned, aPart, ban, aSuspicion, aNow);
  m_bans[aPart] = ban;
}

void PromptQuarantine::RemoveOld(TimePoint aNow) {
  while (!m_crashes.empty() &&
         Elapsed(m_crashes.front().m_learned, aNow) >= m_settings.m_evidenceLifetime) {
    RemoveOldestCrash();
  }
  for (auto& [part, ban] : m_bans) {
    if (!ban.m_lifted && !ban.m_endReported && aNow >= ban.m_until) {
      ban.m_endReported = true;
      AddEvent(BanChange::Ended, part, ban, {}, aNow);
    }
  }
  std::erase_if(m_bans, [&](const auto& aEntry) {
    return aNow >= aEntry.second.m_until + m_settings.m_probation;
  });
}

std::vector<BanEvent> PromptQuarantine::Update(TimePoint aNow) {
  RemoveOld(aNow);
  while (!m_crashes.empty()) {
    const auto suspicions = Suspicions(aNow);
    const auto guilty = SelectGuilty(suspicions, aNow);
    const bool isNew = !guilty.empty() && !m_bans.contains(guilty.front());
    if (guilty.empty() || (isNew && m_bans.size() + guilty.size() > m_settings.m_maxBans)) {
      break;
    }
    for (const std::string& part : guilty) {
      StartBan(part, suspicions.at(part), aNow);
    }
  }
  return std::exchange(m_events, {});
}

void PromptQuarantine::AddEvent(BanChange aChange,
                                const std::string& aPart,
                                const Ban& aBan,
                                const Suspicion& aSuspicion,
                                TimePoint aNow) {
  m_events.push_back({ aChange,
                       aPart,
                       aBan.m_level,
                       aSuspicion.m_crashes.size(),
                       aSuspicion.m_endpoints.size(),
                       aSuspicion.m_calls.size(),
                       std::max(Elapsed(aNow, aBan.m_until), Millis(0)) });
}

size_t PromptQuarantine::BannedCount(TimePoint aNow) const {
  return static_cast<size_t>(std::count_if(m_bans.begin(), m_bans.end(), [&](const auto& aEntry) {
    return IsInForce(aEntry.second, aNow);
  }));
}

} // namespace papayafield::quarantine
