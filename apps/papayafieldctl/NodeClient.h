#pragma once

#include "adapters/http/HttpTypes.h"
#include "base/Json.h"
#include "papayafieldctl/Options.h"

#include <optional>
#include <string>
#include <vector>

namespace papayafield::papayafieldctl {

/// An answer of a node.
struct NodeAnswer {
  int m_status = 0;
  nlohmann::json m_body;
};

/// Speaks with nodes as an operator. Not thread safe.
class NodeClient {
public:
  /// Speaks with the nodes that `aOptions` names.
  explicit NodeClient(const Options& aOptions);

  /// Asks the nodes given, one after another, until one answers; nothing when none does. A call
  /// that may have reached a node is not sent to another one.
  std::optional<NodeAnswer> Ask(const std::string& aMethod,
                                const std::string& aTarget,
                                const std::string& aBody) const;
  /// Asks one node.
  std::optional<NodeAnswer> AskOne(const base::Address& aNode,
                                   const std::string& aMethod,
                                   const std::string& aTarget,
                                   const std::string& aBody,
                                   bool* aMayHaveRun = nullptr) const;
  /// Addresses of all members that a node knows; empty when no node answers.
  std::vector<base::Address> Members() const;

private:
  const Options& m_options;
};

} // namespace papayafield::papayafieldctl
