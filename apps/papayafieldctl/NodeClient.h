#pragma once

#include "adapters/http/HttpTypes.h"
#include "base/Json.h"
#include "papayafieldctl/Options.h"

#include <optional>
#include <string>
#include <vector>

namespace papayafield::papayafieldctl {

/// A response of a node; the body is null if it is not valid JSON.
struct NodeResponse {
  int m_status = 0;
  nlohmann::json m_body;
};

/// Blocking client of the nodes' operator API. Not thread safe.
class NodeClient {
public:
  /// Calls the nodes that `aOptions` names.
  explicit NodeClient(const Options& aOptions);

  /// Calls the configured nodes one after another until one answers. Returns nullopt if no node
  /// answers. A call other than GET is not sent to the next node if it may have reached one
  /// already.
  std::optional<NodeResponse> CallAnyNode(const std::string& aMethod,
                                          const std::string& aTarget,
                                          const std::string& aBody) const;
  /// Calls one node; returns nullopt on failure. In that case sets `*aMayHaveRun`, if not null, to
  /// whether the call may have reached the node.
  std::optional<NodeResponse> CallNode(const base::Address& aNode,
                                       const std::string& aMethod,
                                       const std::string& aTarget,
                                       const std::string& aBody,
                                       bool* aMayHaveRun = nullptr) const;
  /// Returns the caller addresses of all members that the first reachable node does not report as
  /// dead; empty if no node answers.
  std::vector<base::Address> Members() const;

private:
  const Options& m_options;
};

} // namespace papayafield::papayafieldctl
