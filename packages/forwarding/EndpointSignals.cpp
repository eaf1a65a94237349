#include "forwarding/EndpointSignals.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace papayafield::forwarding {

namespace {

/// Returns whether `aInfo` is the answer of `aEndpoint` itself to the call `aCallId`, and states no
/// tolerance. Proxies do not sign, and an answer to an earlier call may be older.
bool StatesNoTolerance(const fleet::Endpoint& aEndpoint,
                       const AnswerInfo& aInfo,
                       const std::string& aCallId) {
  const bool isOwn =
    aInfo.m_instance.empty() || aInfo.m_instance == aEndpoint.m_incarnation.m_endpoint.Text();
  return isOwn && aInfo.m_signed && aInfo.m_id == aCallId && !aInfo.m_rejectionTolerance &&
         !aInfo.m_hasInvalidTolerance;
}

} // namespace

void EndpointSignals::OnAnswer(const fleet::Endpoint& aEndpoint,
                               const AnswerInfo& aInfo,
                               const std::string& aCallId,
                               base::TimePoint aSentAt) {
  const fleet::Incarnation& incarnation = aEndpoint.m_incarnation;
  const std::string& id = incarnation.m_endpoint.Text();
  if (aInfo.m_hasInvalidRetryAfter) {
    m_log.Event("invalid retry time ignored", { { "endpoint", id }, { "request", aCallId } });
  }
  if (aInfo.m_hasInvalidTolerance) {
    m_log.Event("invalid rejection tolerance ignored",
                { { "endpoint", id }, { "request", aCallId } });
  }
  if (StatesNoTolerance(aEndpoint, aInfo, aCallId)) {
    EndTolerance(aEndpoint, aCallId, aSentAt);
  }
  if (!aInfo.m_leaving && !aInfo.m_retryAfter && !aInfo.m_rejectionTolerance) {
    return;
  }
  if (!aInfo.m_instance.empty() && aInfo.m_instance != id) {
    // The address now belongs to another endpoint, which speaks for itself only.
    m_log.Event(
      "signal of another endpoint ignored",
      { { "endpoint", id }, { "answered_by", aInfo.m_instance }, { "request", aCallId } });
    return;
  }
  const auto now = base::BootNow();
  if (aInfo.m_leaving && m_availability.MarkLeaving(incarnation, now)) {
    m_log.Event("endpoint leaves",
                { { "endpoint", id },
                  { "born", incarnation.m_startMs },
                  { "source", "answer" },
                  { "request", aCallId } });
    OnLeaving(incarnation);
  }
  if (aInfo.m_retryAfter) {
    const base::Millis pause = m_availability.Pause(incarnation, *aInfo.m_retryAfter, now);
    m_log.Event("endpoint pauses",
                { { "endpoint", id },
                  { "born", incarnation.m_startMs },
                  { "asked_ms", aInfo.m_retryAfter->count() },
                  { "pause_ms", pause.count() },
                  { "request", aCallId } });
  }
  if (aInfo.m_rejectionTolerance &&
      m_rejectionLimit.SetTolerance(aEndpoint, *aInfo.m_rejectionTolerance, now)) {
    m_log.Event("endpoint tolerates few rejections",
                { { "endpoint", id },
                  { "service", aEndpoint.m_service.Text() },
                  { "per_second", *aInfo.m_rejectionTolerance },
                  { "request", aCallId } });
  }
}

void EndpointSignals::EndTolerance(const fleet::Endpoint& aEndpoint,
                                   const std::string& aCallId,
                                   base::TimePoint aSentAt) {
  if (m_rejectionLimit.EndTolerance(aEndpoint, aSentAt, base::BootNow())) {
    m_log.Event("endpoint states no tolerance of rejections any more",
                { { "endpoint", aEndpoint.m_incarnation.m_endpoint.Text() },
                  { "service", aEndpoint.m_service.Text() },
                  { "request", aCallId } });
  }
}

void EndpointSignals::OnRejected(const fleet::Endpoint& aEndpoint,
                                 double aOwnCalls,
                                 const std::string& aCallId) {
  const auto now = base::BootNow();
  const double limit = m_rejectionLimit.RecordRejection(aEndpoint, aOwnCalls, now);
  if (std::isfinite(limit)) {
    m_log.Event("open calls limited",
                { { "endpoint", aEndpoint.m_incarnation.m_endpoint.Text() },
                  { "open", aOwnCalls },
                  { "limit", limit },
                  { "request", aCallId } });
  }
}

void EndpointSignals::OnPeerReport(const std::vector<fleet::LeavingMark>& aMarks) {
  for (const fleet::LeavingMark& mark : aMarks) {
    if (m_availability.Adopt(mark, base::BootNow())) {
      m_log.Event("endpoint leaves",
                  { { "endpoint", mark.m_incarnation.m_endpoint.Text() },
                    { "born", mark.m_incarnation.m_startMs },
                    { "source", "peer" },
                    { "age_ms", mark.m_age.count() } });
      OnLeaving(mark.m_incarnation);
    }
  }
}

void EndpointSignals::OnLeaving(const fleet::Incarnation& aEndpoint) {
  m_pool.CloseIdle(aEndpoint);
  m_onMarked();
}

} // namespace papayafield::forwarding
