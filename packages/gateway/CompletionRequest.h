#pragma once

#include "adapters/http/HttpServer.h"
#include "gateway/Problem.h"
#include "manifest/Manifest.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace papayafield::gateway {

/// URL path of chat completions.
inline constexpr char kChatCompletionPath[] = "/v1/chat/completions";
/// URL path of text completions.
inline constexpr char kTextCompletionPath[] = "/v1/completions";

/// A parsed and validated completion request.
struct CompletionRequest {
  /// `/v1/chat/completions` or `/v1/completions`.
  std::string m_path;
  /// The request body; null if the caller requests the rest of an existing answer, which carries no
  /// prompt.
  std::shared_ptr<const nlohmann::json> m_body;
  /// The deployment named by the `model` field.
  base::DeploymentId m_deployment;
  /// Hashes of the prompt blocks, used for prefix-cache routing.
  std::vector<uint64_t> m_blockHashes;
  /// Estimated number of prompt tokens.
  uint64_t m_promptTokens = 0;
  /// Maximum number of output tokens.
  uint64_t m_maxTokens = 0;
  /// Whether the answer is streamed.
  bool m_streamRequested = false;
  /// Text that the caller has already received, if it requests the rest of an answer.
  std::string m_textSoFar;
};

/// Parses and validates the completion request in `aExchange`. Returns a problem if it is invalid
/// or the team may not use the deployment.
tl::expected<CompletionRequest, Problem> ParseCompletionRequest(
  const adapters::http::ServerExchange& aExchange,
  const manifest::Manifest& aManifest,
  const manifest::Team& aTeam);

/// Returns the JSON response body for a caller that did not request a stream.
std::string MakeResponseBody(const CompletionRequest& aCompletion,
                             const base::RequestId& aRequest,
                             const std::string& aText,
                             uint64_t aTokens);

} // namespace papayafield::gateway
