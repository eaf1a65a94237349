#include "papayafieldctl/NodeClient.h"

#include "adapters/http/BlockingClient.h"

namespace papayafield::papayafieldctl {

namespace {

/// Idle and total time limit of a call.
constexpr base::Millis kTimeout{ 15000 };

} // namespace

NodeClient::NodeClient(const Options& aOptions)
  : m_options(aOptions) {}

std::optional<NodeResponse> NodeClient::CallNode(const base::Address& aNode,
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
  const auto response = adapters::http::FetchBlocking(std::move(request));
  if (!response) {
    if (aMayHaveRun != nullptr) {
      *aMayHaveRun = !adapters::http::NothingSent(response.error());
    }
    return std::nullopt;
  }
  return NodeResponse{ response->m_status, base::ParseJson(response->m_body) };
}

std::optional<NodeResponse> NodeClient::CallAnyNode(const std::string& aMethod,
                                                    const std::string& aTarget,
                                                    const std::string& aBody) const {
  for (const base::Address& node : m_options.m_nodes) {
    bool mayHaveRun = false;
    if (auto response = CallNode(node, aMethod, aTarget, aBody, &mayHaveRun)) {
      return response;
    }
    if (mayHaveRun && aMethod != "GET") {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

std::vector<base::Address> NodeClient::Members() const {
  std::vector<base::Address> members;
  const auto status = CallAnyNode("GET", "/operator/status", "");
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
