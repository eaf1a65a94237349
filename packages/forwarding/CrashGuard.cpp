#include "forwarding/CrashGuard.h"

#include "base/Digest.h"

#include <nlohmann/json.hpp>

namespace papayafield::forwarding {

using base::Millis;
using base::TimePoint;

namespace {

/// A longer time between two ticks means that this process did not run.
constexpr Millis kMaxTickGap{ 800 };
/// Time in which reports that waited meanwhile are read.
constexpr Millis kStaleTime{ 300 };
/// Length of the digests of endpoints and calls in reports, in hexadecimal digits.
constexpr size_t kDigestLength = 16;

std::string Digest(const std::string& aText) {
  return base::Sha256Hex(aText).substr(0, kDigestLength);
}

} // namespace

CrashGuard::CrashGuard(Metrics& aMetrics)
  : m_metrics(aMetrics)
  , m_quarantine(quarantine::QuarantineSettings{}, base::RandomSeed()) {}

/// Returns the keys of all parts but the last one, which belongs to this call alone.
std::vector<std::string> CrashGuard::SharedParts(const CallInfo& aCall) {
  std::vector<std::string> keys;
  for (size_t i = 0; i + 1 < aCall.m_promptParts.size(); ++i) {
    keys.push_back(quarantine::PromptQuarantine::KeyOf(aCall.m_promptParts[i].m_id));
  }
  return keys;
}

std::optional<Millis> CrashGuard::RefusalTime(const CallInfo& aCall, TimePoint aNow) {
  if (!m_quarantine.HasBans()) {
    return std::nullopt;
  }
  const auto refusal = m_quarantine.Check(SharedParts(aCall), aNow);
  if (!refusal) {
    return std::nullopt;
  }
  m_log.Event("call refused",
              { { "request", aCall.m_id },
                { "prompt_part", refusal->m_part },
                { "ban_level", refusal->m_level },
                { "ban_age_ms", refusal->m_age.count() },
                { "remaining_ms", refusal->m_remaining.count() } });
  m_metrics.Count("quarantine_refused");
  return refusal->m_remaining;
}

std::optional<Millis> CrashGuard::PeekRefusalTime(const CallInfo& aCall, TimePoint aNow) const {
  const auto refusal = m_quarantine.Peek(SharedParts(aCall), aNow);
  return refusal ? std::optional(refusal->m_remaining) : std::nullopt;
}

void CrashGuard::OnConnectionLost(const CallInfo& aCall,
                                  const base::EndpointId& aEndpoint,
                                  size_t aEvents,
                                  TimePoint aNow) {
  if (aEvents >= kFirstEvents) {
    return;
  }
  const auto crash = m_quarantine.RecordCrash(
    { Digest(aEndpoint.Text()), Digest(aCall.m_id), SharedParts(aCall), Millis(0) }, aNow);
  if (!crash) {
    return;
  }
  m_log.Event("endpoint lost at the beginning of an answer",
              { { "request", aCall.m_id },
                { "endpoint", aEndpoint.Text() },
                { "events", aEvents },
                { "parts", crash->m_parts },
                { "crashes_known", m_quarantine.CrashCount() } });
  m_metrics.Count("quarantine_evidence");
  Evaluate(aNow);
  if (m_onUrgent) {
    m_onUrgent();
  }
}

void CrashGuard::OnAnswered(const CallInfo& aCall, TimePoint aBegan, TimePoint aNow) {
  m_quarantine.RecordSuccess(SharedParts(aCall), aBegan, aNow);
}

void CrashGuard::Merge(const quarantine::Report& aReport, TimePoint aNow) {
  // The ages in a report that waited are too small: old answers would refute later crashes.
  if (aNow < m_staleUntil || aNow - m_lastTick > kMaxTickGap) {
    quarantine::Report bans;
    bans.m_bans = aReport.m_bans;
    m_quarantine.Merge(bans, aNow);
    return;
  }
  m_quarantine.Merge(aReport, aNow);
  Evaluate(aNow);
}

void CrashGuard::Tick(TimePoint aNow) {
  if (aNow - m_lastTick > kMaxTickGap) {
    m_staleUntil = aNow + kStaleTime;
  }
  m_lastTick = aNow;
  Evaluate(aNow);
  m_metrics.Set("quarantine_banned_parts", static_cast<double>(m_quarantine.BannedCount(aNow)));
}

void CrashGuard::Evaluate(TimePoint aNow) {
  bool isUrgent = false;
  for (const quarantine::BanEvent& event : m_quarantine.Update(aNow)) {
    m_log.Event("part " + std::string(base::NameOf(event.m_change)),
                { { "prompt_part", event.m_part },
                  { "ban_level", event.m_level },
                  { "crashes", event.m_crashes },
                  { "endpoints", event.m_endpoints },
                  { "calls", event.m_calls },
                  { "remaining_ms", event.m_remaining.count() } });
    m_metrics.Count("quarantine_" + std::string(base::NameOf(event.m_change)));
    isUrgent = isUrgent || event.m_change == quarantine::BanChange::Banned ||
               event.m_change == quarantine::BanChange::Lifted;
  }
  if (isUrgent && m_onUrgent) {
    m_onUrgent();
  }
}

} // namespace papayafield::forwarding
