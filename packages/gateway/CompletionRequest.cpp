#include "gateway/CompletionRequest.h"

#include "base/Json.h"
#include "routing/PrefixHash.h"

#include <algorithm>

namespace papayafield::gateway {

namespace {

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;

Problem BadRequest(std::string aDetail) {
  return { kBadRequest, "bad request", requests::Outcome::NotRun, std::move(aDetail), {} };
}

bool IsChat(const std::string& aPath) {
  return aPath == kChatCompletionPath;
}

/// Returns the prompt as the single text that engines hash too, or nullopt if it is malformed.
std::optional<std::string> PromptText(const nlohmann::json& aBody, bool aChat) {
  if (!aChat) {
    const auto prompt = aBody.find("prompt");
    return prompt != aBody.end() && prompt->is_string() ? std::optional(prompt->get<std::string>())
                                                        : std::nullopt;
  }
  const auto messages = aBody.find("messages");
  if (messages == aBody.end() || !messages->is_array() || messages->empty()) {
    return std::nullopt;
  }
  std::string text;
  for (const auto& message : *messages) {
    if (!message.is_object() || !message.contains("content") || !message["content"].is_string()) {
      return std::nullopt;
    }
    text += base::ValueOr(message, "role", std::string()) + ": " +
            message["content"].get<std::string>() + "\n";
  }
  return text;
}

} // namespace

tl::expected<CompletionRequest, Problem> ParseCompletionRequest(
  const adapters::http::ServerExchange& aExchange,
  const manifest::Manifest& aManifest,
  const manifest::Team& aTeam) {
  auto body = std::make_shared<nlohmann::json>(base::ParseJson(aExchange.Body()));
  if (!body->is_object()) {
    return tl::unexpected(BadRequest("the body must be a JSON object"));
  }
  CompletionRequest completion;
  completion.m_path = aExchange.Path();
  completion.m_deployment = base::DeploymentId(base::ValueOr(*body, "model", std::string()));
  // The deployment must exist and the team must be allowed to use it.
  const manifest::Deployment* deployment = aManifest.FindDeployment(completion.m_deployment);
  if (deployment == nullptr) {
    return tl::unexpected(Problem{ kNotFound,
                                   "no such model",
                                   requests::Outcome::NotRun,
                                   "'model' must name a deployment",
                                   {} });
  }
  if (!deployment->Admits(aTeam.m_name)) {
    return tl::unexpected(Problem{ kForbidden,
                                   "not allowed",
                                   requests::Outcome::NotRun,
                                   "this deployment is not open to the team",
                                   {} });
  }
  const auto prompt = PromptText(*body, IsChat(completion.m_path));
  if (!prompt) {
    return tl::unexpected(BadRequest(
      IsChat(completion.m_path) ? "'messages' must be a list of objects with 'role' and 'content'"
                                : "'prompt' must be a text"));
  }
  // The deployment limits the output length.
  completion.m_maxTokens = deployment->m_maxOutputTokens;
  if (const auto maxTokens = body->find("max_tokens"); maxTokens != body->end()) {
    if (!maxTokens->is_number_unsigned() || maxTokens->get<uint64_t>() == 0) {
      return tl::unexpected(BadRequest("'max_tokens' must be a whole number above 0"));
    }
    completion.m_maxTokens = std::min(completion.m_maxTokens, maxTokens->get<uint64_t>());
    (*body)["max_tokens"] = completion.m_maxTokens;
  }
  completion.m_streamRequested = base::ValueOr(*body, "stream", false);
  completion.m_textSoFar = base::ValueOr(*body, "text_so_far", std::string());
  completion.m_blockHashes = routing::PrefixBlocks(*prompt);
  completion.m_promptTokens = routing::EstimateTokens(*prompt);
  completion.m_body = std::move(body);
  return completion;
}

std::string MakeResponseBody(const CompletionRequest& aCompletion,
                             const base::RequestId& aRequest,
                             const std::string& aText,
                             uint64_t aTokens) {
  const bool chat = IsChat(aCompletion.m_path);
  nlohmann::json choice = { { "index", 0 }, { "finish_reason", "stop" } };
  if (chat) {
    choice["message"] = { { "role", "assistant" }, { "content", aText } };
  } else {
    choice["text"] = aText;
  }
  return base::DumpJson({ { "id", aRequest.Text() },
                          { "object", chat ? "chat.completion" : "text_completion" },
                          { "model", aCompletion.m_deployment.Text() },
                          { "choices", nlohmann::json::array({ choice }) },
                          { "usage",
                            { { "prompt_tokens", aCompletion.m_promptTokens },
                              { "completion_tokens", aTokens },
                              { "total_tokens", aCompletion.m_promptTokens + aTokens } } } });
}

} // namespace papayafield::gateway
