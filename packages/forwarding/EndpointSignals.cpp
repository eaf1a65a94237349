#include "forwarding/EndpointSignals.h"

#include <nlohmann/json.hpp>

namespace papayafield::forwarding {

void EndpointSignals::OnAnswer(const fleet::Incarnation& aEndpoint,
                               const AnswerInfo& aInfo,
                               const std::string& aCallId) {
  const std::string& id = aEndpoint.m_endpoint.Text();
  if (aInfo.m_hasInvalidRetryAfter) {
    m_log.Event("invalid retry time ignored", { { "endpoint", id }, { "request", aCallId } });
  }
  if (!aInfo.m_leaving && !aInfo.m_retryAfter) {
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
  if (aInfo.m_leaving && m_availability.MarkLeaving(aEndpoint, now)) {
    m_log.Event("endpoint leaves",
                { { "endpoint", id },
                  { "born", aEndpoint.m_startMs },
                  { "source", "answer" },
                  { "request", aCallId } });
    OnLeaving(aEndpoint);
  }
  if (aInfo.m_retryAfter) {
    const base::Millis pause = m_availability.Pause(aEndpoint, *aInfo.m_retryAfter, now);
    m_log.Event("endpoint pauses",
                { { "endpoint", id },
                  { "born", aEndpoint.m_startMs },
                  { "asked_ms", aInfo.m_retryAfter->count() },
                  { "pause_ms", pause.count() },
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
