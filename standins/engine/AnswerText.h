#pragma once

#include "base/Digest.h"
#include "base/Json.h"

#include <string>

/// \file
/// The answers of the engine stand-in. An answer depends only on the prompt, so a test can compare
/// a complete answer no matter which engines generated it.

namespace papayafield::standins {

/// Returns the prompt of a completion request body as one text.
inline std::string ExtractPrompt(const nlohmann::json& aBody) {
  if (aBody.contains("prompt") && aBody["prompt"].is_string()) {
    return aBody["prompt"].get<std::string>();
  }
  std::string prompt;
  if (aBody.contains("messages") && aBody["messages"].is_array()) {
    for (const auto& message : aBody["messages"]) {
      prompt += base::ValueOr(message, "role", std::string()) + ": " +
                base::ValueOr(message, "content", std::string()) + "\n";
    }
  }
  return prompt;
}

/// Returns token `aOffset` of the answer to `aPrompt`.
inline std::string AnswerToken(const std::string& aPrompt, uint64_t aOffset) {
  constexpr uint64_t kVocabularySize = 100000;
  return "w" + std::to_string(base::Hash64(aPrompt, aOffset) % kVocabularySize) + " ";
}

/// Returns the first `aCount` tokens of the answer to `aPrompt`.
inline std::string AnswerText(const std::string& aPrompt, uint64_t aCount) {
  std::string text;
  for (uint64_t offset = 0; offset < aCount; ++offset) {
    text += AnswerToken(aPrompt, offset);
  }
  return text;
}

} // namespace papayafield::standins
