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

/// Path of chat completions.
inline constexpr char kChatPath[] = "/v1/chat/completions";
/// Path of text completions.
inline constexpr char kTextPath[] = "/v1/completions";

/// A completion request, read and checked.
struct Completion {
  /// `/v1/chat/completions` or `/v1/completions`.
  std::string m_path;
  /// The caller's body; null when a running answer is asked for by its name.
  std::shared_ptr<const nlohmann::json> m_body;
  /// The deployment that `model` names.
  base::DeploymentId m_deployment;
  /// Hashes of the prompt's blocks.
  std::vector<uint64_t> m_blocks;
  /// Estimated prompt tokens.
  uint64_t m_promptTokens = 0;
  /// Most tokens of the answer.
  uint64_t m_maxTokens = 0;
  /// Whether the answer is streamed.
  bool m_stream = false;
  /// Text that the caller already has, when it asks for the rest.
  std::string m_textSoFar;
};

/// Reads the completion request in `aExchange`, or says what is wrong with it.
tl::expected<Completion, Problem> ReadCompletion(const adapters::http::ServerExchange& aExchange,
                                                 const manifest::Manifest& aManifest,
                                                 const manifest::Team& aTeam);

/// The whole answer for a caller that did not ask for a stream.
std::string WholeAnswer(const Completion& aCompletion,
                        const base::RequestId& aRequest,
                        const std::string& aText,
                        uint64_t aTokens);

} // namespace papayafield::gateway
