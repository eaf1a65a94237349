#include "papayafieldctl/NodeClient.h"

#include "adapters/http/BlockingClient.h"

namespace papayafield::papayafieldctl {

namespace {

/// Idle and total time limit of a call.
constexpr base::Millis kTimeout{ 15000 };

} // namespace

NodeClient::NodeClient(const Options& aOptions)
  : m_options(aOptions) {}

std::optional<NodeAnswer> NodeClient::AskOne(const base::Address& aNode,
                                             const std::string& aMethod,
                                             const std::string& aTarget,
                                             const std::string& aBody,
                                             bool* aMayHaveRun) const {
  adapters::http::HttpRequest request;
  request.m_to = aNode;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_body = aBody;
  request.m_headers.Add("Authorization", "Bearer " + m_options.m_key);
  request.m_idleTimeout = kTimeout;
  request.m_totalTimeout = kTimeout;
  const auto answer = adapters::http::FetchBlocking(std::move(request));
  if (!answer) {
    if (aMayHaveRun != nullptr) {
      *aMayHaveRun = !adapters::http::NothingSent(answer.error());
    }
    return std::nullopt;
  }
  return NodeAnswer{ answer->m_status, base::ParseJson(answer->m_body) };
}

std::optional<NodeAnswer> NodeClient::Ask(const std::string& aMethod,
                                          const std::string& aTarget,
                                          const std::string& aBody) const {
  for (const base::Address& node : m_options.m_nodes) {
    bool mayHaveRun = false;
    if (auto answer = AskOne(node, aMethod, aTarget, aBody, &mayHaveRun)) {
      return answer;
    }
    if (mayHaveRun && aMethod != "GET") {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

std::vector<base::Address> NodeClient::Members() const {
  std::vector<base::Address> members;
  const auto status = Ask("GET", "/operator/status", "");
  if (status && status->m_body.contains("members")) {
    for (const auto& member : status->m_body["members"]) {
      if (base::ValueOr(member, "state", std::string()) != "dead") {
        members.push_back(base::Address::Parse(base::ValueOr(member, "callers", std::string())));
      }
    }
  }
  return members;
}

} // namespace papayafield::papayafieldctl
