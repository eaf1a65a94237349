#pragma once

#include "base/Log.h"
#include "fleet/EndpointAvailability.h"
#include "forwarding/Call.h"
#include "forwarding/EndpointPool.h"

#include <functional>
#include <string>
#include <vector>

namespace papayafield::forwarding {

/// Applies what endpoints state about themselves in their answers: that they leave, or that they
/// want no calls for some time. Belongs to the event loop's thread.
class EndpointSignals {
public:
  /// `aOnMarked` is called when this node learns that an endpoint leaves.
  EndpointSignals(fleet::EndpointAvailability& aAvailability,
                  EndpointPool& aPool,
                  std::function<void()> aOnMarked)
    : m_availability(aAvailability)
    , m_pool(aPool)
    , m_onMarked(std::move(aOnMarked)) {}

  /// Applies the head of an answer that arrived on a connection to `aEndpoint`, whichever call it
  /// answers. `aCallId`: the call that is being read for, for the log.
  void OnAnswer(const fleet::Incarnation& aEndpoint,
                const AnswerInfo& aInfo,
                const std::string& aCallId);
  /// Applies what a peer reports.
  void OnPeerReport(const std::vector<fleet::LeavingMark>& aMarks);

private:
  void OnLeaving(const fleet::Incarnation& aEndpoint);

  fleet::EndpointAvailability& m_availability;
  EndpointPool& m_pool;
  std::function<void()> m_onMarked;
  const base::Log m_log{ "signals" };
};

} // namespace papayafield::forwarding
