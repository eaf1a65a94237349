#pragma once

#include "forwarding/CallPlanner.h"
#include "forwarding/ExplainQuery.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace papayafield::forwarding {

/// Response to `GET /explain`.
struct ExplainResponse {
  int m_status = 200;
  nlohmann::json m_body;
};

/// States what a node would do with a call now, and why. The decision is that of CallPlanner.
/// Nothing is sent, counted or consumed. Belongs to the event loop's thread.
class CallExplainer {
public:
  /// Maximum number of candidates in a response.
  static constexpr size_t kMaxCandidates = 64;

  /// `aNode` must outlive the object. `aPeerLoadAges`: time since each peer reported its loads.
  CallExplainer(const NodeState& aNode, std::vector<base::Millis> aPeerLoadAges)
    : m_node(aNode)
    , m_peerLoadAges(std::move(aPeerLoadAges)) {}

  /// Answers a request with the target `aTarget`.
  ExplainResponse Explain(const std::string& aTarget, base::TimePoint aNow) const;

private:
  nlohmann::json ExplainCall(const fleet::Catalog& aCatalog,
                             const fleet::Route& aRoute,
                             const fleet::Team* aTeam,
                             const CallInfo& aCall,
                             base::TimePoint aNow) const;
  nlohmann::json DescribeQuota(const fleet::Team& aTeam, base::TimePoint aNow) const;
  nlohmann::json DescribePeerLoads() const;
  nlohmann::json DescribeCandidate(const placement::CandidateState& aCandidate,
                                   bool aIsEngine,
                                   base::TimePoint aNow) const;
  /// Sets `candidates` and `candidates_omitted`.
  void AddCandidates(const CallPlanner& aPlanner,
                     const std::string& aChosen,
                     bool aIsEngine,
                     base::TimePoint aNow,
                     nlohmann::json& aBody) const;

  const NodeState& m_node;
  std::vector<base::Millis> m_peerLoadAges;
};

} // namespace papayafield::forwarding
