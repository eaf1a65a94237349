#include "forwarding/RejectionLimit.h"

#include <algorithm>
#include <cmath>

namespace papayafield::forwarding {

namespace {

/// Purposes of draws, which are independent of each other.
constexpr uint64_t kSlotDraw = 1;
constexpr uint64_t kTurnDraw = 2;
/// Maximum part of an endpoint's slots that is kept free for one unseen call of each other node.
constexpr double kMaxReservedPart = 0.75;
/// Part of the tolerated rejections that nodes aim at where they take turns by independent draws.
constexpr double kTurnFraction = 0.5;

size_t CountSince(const std::deque<base::TimePoint>& aTimes, base::TimePoint aStart) {
  return static_cast<size_t>(std::count_if(
    aTimes.begin(), aTimes.end(), [&](base::TimePoint aTime) { return aTime > aStart; }));
}

void RemoveBefore(std::deque<base::TimePoint>& aTimes, base::TimePoint aStart) {
  while (!aTimes.empty() && aTimes.front() <= aStart) {
    aTimes.pop_front();
  }
}

} // namespace

bool RejectionLimit::SetTolerance(const fleet::Endpoint& aEndpoint,
                                  int aTolerance,
                                  base::TimePoint aNow) {
  const Tolerance tolerance{ std::max(aTolerance, 0), aNow + m_settings.m_lapse };
  m_services[aEndpoint.m_service] = tolerance;
  Record& record = m_records[aEndpoint.m_incarnation];
  const bool hadEnded = std::exchange(record.m_hasEnded, false);
  const Tolerance previous = std::exchange(record.m_tolerance, tolerance);
  return hadEnded || previous.m_until <= aNow ||
         previous.m_rejectionsPerSecond != tolerance.m_rejectionsPerSecond;
}

bool RejectionLimit::EndTolerance(const fleet::Endpoint& aEndpoint,
                                  base::TimePoint aSentAt,
                                  base::TimePoint aNow) {
  const auto found = m_records.find(aEndpoint.m_incarnation);
  if (found == m_records.end()) {
    return false;
  }
  Record& record = found->second;
  const base::TimePoint statedAt = record.m_tolerance.m_until - m_settings.m_lapse;
  if (record.m_tolerance.m_until <= aNow || aSentAt <= statedAt) {
    return false;
  }
  record.m_tolerance.m_until = aNow + m_settings.m_lapse;
  return !std::exchange(record.m_hasEnded, true);
}

bool RejectionLimit::Holds(const fleet::ServiceId& aService, base::TimePoint aNow) const {
  const auto found = m_services.find(aService);
  return found != m_services.end() && found->second.m_until > aNow;
}

const RejectionLimit::Record* RejectionLimit::FindRecord(const fleet::Endpoint& aEndpoint) const {
  const auto found = m_records.find(aEndpoint.m_incarnation);
  return found == m_records.end() ? nullptr : &found->second;
}

/// Returns the tolerance of an endpoint; null if none is known.
const RejectionLimit::Tolerance* RejectionLimit::Find(const fleet::Endpoint& aEndpoint,
                                                      base::TimePoint aNow) const {
  const Record* record = FindRecord(aEndpoint);
  if (record != nullptr && record->m_tolerance.m_until > aNow) {
    return record->m_hasEnded ? nullptr : &record->m_tolerance;
  }
  const auto service = m_services.find(aEndpoint.m_service);
  return service != m_services.end() && service->second.m_until > aNow ? &service->second : nullptr;
}

RejectionLimit::Share RejectionLimit::ShareOf(const Tolerance& aTolerance) const {
  const double share =
    m_settings.m_usedPart * aTolerance.m_rejectionsPerSecond / static_cast<double>(m_nodeCount);
  if (share >= 1) {
    return { static_cast<size_t>(share), m_settings.m_window, 1 };
  }
  if (share <= 0) {
    return { 0, m_settings.m_maxWindow, 0 };
  }
  const auto window = std::chrono::duration_cast<base::Millis>(m_settings.m_window / share);
  return { 1, std::min(window, m_settings.m_maxWindow), share * kTurnFraction };
}

/// Returns the number of slots that each node gets, which may be a fraction; 0 if they are not
/// known.
double RejectionLimit::SlotShare(const fleet::Endpoint& aEndpoint) const {
  return std::max<double>(aEndpoint.m_slots, 0) / static_cast<double>(m_nodeCount);
}

/// Returns the most calls that the other nodes had open within the peak window.
double RejectionLimit::MaxPeerCalls(const Record& aRecord, base::TimePoint aNow) const {
  const auto first = std::find_if(
    aRecord.m_peerCalls.begin(), aRecord.m_peerCalls.end(), [&](const PeerCalls& aCalls) {
      return aCalls.m_at > aNow - m_settings.m_peakWindow;
    });
  return first == aRecord.m_peerCalls.end() ? 0 : first->m_calls;
}

/// Returns the number of slots to keep free for calls that other nodes may send before this node
/// learns of them.
double RejectionLimit::SlotsForPeers(const fleet::Endpoint& aEndpoint,
                                     const OpenCalls& aOpen,
                                     base::TimePoint aNow) const {
  const double oneEach =
    std::min(static_cast<double>(m_nodeCount) - 1, aEndpoint.m_slots * kMaxReservedPart);
  const Record* record = FindRecord(aEndpoint);
  if (record == nullptr) {
    return oneEach;
  }
  // An endpoint that has become idle for all nodes looks free to all of them at once.
  return std::max(oneEach, MaxPeerCalls(*record, aNow) - (aOpen.m_total - aOpen.m_own));
}

double RejectionLimit::MaxOpen(const fleet::Endpoint& aEndpoint,
                               const Record& aRecord,
                               base::TimePoint aNow) const {
  const std::chrono::duration<double> elapsed = aNow - aRecord.m_maxOpenAt;
  const double share = SlotShare(aEndpoint);
  const double perSecond =
    share > 0 ? std::min(m_settings.m_increasePerSecond, share * m_settings.m_increasePart)
              : m_settings.m_increasePerSecond;
  return aRecord.m_maxOpen + elapsed.count() * perSecond;
}

/// Returns a number in [0, 1) that changes once per window.
double RejectionLimit::Draw(const fleet::Endpoint& aEndpoint,
                            uint64_t aPurpose,
                            base::TimePoint aNow) const {
  const base::TimePoint::duration window = m_settings.m_window;
  // Nodes draw at different times, so that few begin to send together.
  const base::TimePoint::duration phase(
    static_cast<int64_t>(m_seed % static_cast<uint64_t>(window.count())));
  const auto period = static_cast<uint64_t>((aNow.time_since_epoch() + phase) / window);
  const uint64_t hash = base::Hash64(aEndpoint.m_incarnation.m_endpoint.Text() + ' ' +
                                       std::to_string(period) + ' ' + std::to_string(aPurpose),
                                     m_seed);
  return std::ldexp(static_cast<double>(hash >> 11U), -53);
}

/// Returns whether a call is expected to find a free slot, whatever other nodes send meanwhile.
bool RejectionLimit::IsSafe(const fleet::Endpoint& aEndpoint,
                            const OpenCalls& aOpen,
                            base::TimePoint aNow) const {
  // Fractions of a call are granted in turn.
  const auto isWithin = [&](double aLimit) {
    return aOpen.m_own + 1 <= aLimit ||
           (aOpen.m_own < aLimit && aOpen.m_own + 1 <= aLimit + Draw(aEndpoint, kSlotDraw, aNow));
  };
  const Record* record = FindRecord(aEndpoint);
  if (record != nullptr && !isWithin(MaxOpen(aEndpoint, *record, aNow))) {
    return false;
  }
  if (aEndpoint.m_slots <= 0) {
    return true;
  }
  const double free = aEndpoint.m_slots - aOpen.m_total;
  if (free > SlotsForPeers(aEndpoint, aOpen, aNow)) {
    return true;
  }
  return free > 0 && isWithin(SlotShare(aEndpoint));
}

bool RejectionLimit::Admits(const fleet::Endpoint& aEndpoint,
                            const OpenCalls& aOpen,
                            base::TimePoint aNow) const {
  const Tolerance* tolerance = Find(aEndpoint, aNow);
  if (tolerance == nullptr) {
    return true;
  }
  const Share share = ShareOf(*tolerance);
  const Record* record = FindRecord(aEndpoint);
  const auto rejectionsSince = [&](base::Millis aWindow) {
    return record != nullptr ? CountSince(record->m_rejections, aNow - aWindow) : 0;
  };
  // Where slots are not known, no call is known to find one.
  const bool hasLongPause = share.m_count == 0 && aEndpoint.m_slots <= 0;
  const base::Millis pause = hasLongPause ? m_settings.m_maxWindow : m_settings.m_window;
  if (rejectionsSince(pause) >= std::max<size_t>(share.m_count, 1)) {
    return false;
  }
  if (IsSafe(aEndpoint, aOpen, aNow)) {
    return true;
  }
  const size_t risks = record != nullptr ? CountSince(record->m_risks, aNow - share.m_window) : 0;
  return rejectionsSince(share.m_window) + risks < share.m_count &&
         Draw(aEndpoint, kTurnDraw, aNow) < share.m_turn;
}

void RejectionLimit::RecordSent(const fleet::Endpoint& aEndpoint,
                                const OpenCalls& aOpen,
                                base::TimePoint aNow) {
  if (Find(aEndpoint, aNow) == nullptr) {
    return;
  }
  const bool isSafe = IsSafe(aEndpoint, aOpen, aNow);
  Record& record = m_records[aEndpoint.m_incarnation];
  if (!isSafe) {
    record.m_risks.push_back(aNow);
  }
  const double peerCalls = aOpen.m_total - aOpen.m_own;
  while (!record.m_peerCalls.empty() && record.m_peerCalls.back().m_calls <= peerCalls) {
    record.m_peerCalls.pop_back();
  }
  record.m_peerCalls.push_back({ aNow, peerCalls });
}

double RejectionLimit::RecordRejection(const fleet::Endpoint& aEndpoint,
                                       double aOwnCalls,
                                       base::TimePoint aNow) {
  if (Find(aEndpoint, aNow) == nullptr) {
    return std::numeric_limits<double>::infinity();
  }
  Record& record = m_records[aEndpoint.m_incarnation];
  record.m_rejections.push_back(aNow);
  const double accepted = std::max(aOwnCalls - 1, SlotShare(aEndpoint));
  record.m_maxOpen = std::min(MaxOpen(aEndpoint, record, aNow), accepted) * m_settings.m_decrease;
  record.m_maxOpenAt = aNow;
  return record.m_maxOpen;
}

void RejectionLimit::RemoveObsolete(base::TimePoint aNow) {
  std::erase_if(m_services, [&](const auto& aEntry) { return aEntry.second.m_until <= aNow; });
  for (auto& [incarnation, record] : m_records) {
    RemoveBefore(record.m_rejections, aNow - m_settings.m_maxWindow);
    RemoveBefore(record.m_risks, aNow - m_settings.m_maxWindow);
    std::erase_if(record.m_peerCalls, [&](const PeerCalls& aCalls) {
      return aCalls.m_at <= aNow - m_settings.m_peakWindow;
    });
  }
  std::erase_if(m_records, [&](const auto& aEntry) {
    const Record& record = aEntry.second;
    return record.m_tolerance.m_until <= aNow && record.m_rejections.empty() &&
           record.m_risks.empty() && record.m_peerCalls.empty();
  });
}

} // namespace papayafield::forwarding
