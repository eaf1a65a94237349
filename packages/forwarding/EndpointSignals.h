#pragma once

#include "base/Log.h"
#include "fleet/EndpointAvailability.h"
#include "forwarding/Call.h"
#include "forwarding/EndpointPool.h"
#include "forwarding/RejectionLimit.h"

#include <functional>
#include <string>
#include <vector>

namespace papayafield::forwarding {

/// Applies what endpoints state about themselves in their answers: that they leave, that they want
/// no calls for some time, or how many rejections they tolerate. Belongs to the event loop's
/// thread.
class EndpointSignals {
public:
  /// `aOnMarked` is called when this node learns that an endpoint leaves.
  EndpointSignals(fleet::EndpointAvailability& aAvailability,
                  RejectionLimit& aRejectionLimit,
                  EndpointPool& aPool,
                  std::function<void()> aOnMarked)
    : m_availability(aAvailability)
    , m_rejectionLimit(aRejectionLimit)
    , m_pool(aPool)
    , m_onMarked(std::move(aOnMarked)) {}

  /// Applies the head of an answer that arrived on a connection to `aEndpoint`, whichever call it
  /// answers.
  /// \param aCallId the call that is being read for.
  /// \param aSentAt when that call was sent; the epoch if that is not known.
  void OnAnswer(const fleet::Endpoint& aEndpoint,
                const AnswerInfo& aInfo,
                const std::string& aCallId,
                base::TimePoint aSentAt);
  /// Takes into account that an endpoint rejected the call `aCallId` for want of room.
  /// `aOwnCalls`: open calls of this node there, including that one.
  void OnRejected(const fleet::Endpoint& aEndpoint, double aOwnCalls, const std::string& aCallId);
  /// Applies what a peer reports.
  void OnPeerReport(const std::vector<fleet::LeavingMark>& aMarks);

private:
  void OnLeaving(const fleet::Incarnation& aEndpoint);
  void EndTolerance(const fleet::Endpoint& aEndpoint,
                    const std::string& aCallId,
                    base::TimePoint aSentAt);

  fleet::EndpointAvailability& m_availability;
  RejectionLimit& m_rejectionLimit;
  EndpointPool& m_pool;
  std::function<void()> m_onMarked;
  const base::Log m_log{ "signals" };
};

} // namespace papayafield::forwarding
