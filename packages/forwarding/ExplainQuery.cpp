#include "forwarding/ExplainQuery.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace papayafield::forwarding {

namespace {

/// Bounds of what the response repeats.
constexpr size_t kMaxTextBytes = 1024;
constexpr size_t kMaxParts = 64;

/// Returns the non-negative number that `aText` consists of.
std::optional<double> ParseAmount(std::string_view aText) {
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, number);
  const bool valid = error == std::errc{} && last == end && std::isfinite(number) && number >= 0;
  return valid ? std::optional(number) : std::nullopt;
}

/// Parses `IN,OUT`. The output tokens may be left out.
bool ParseTokens(std::string_view aText, CallInfo& aCall) {
  const size_t comma = aText.find(',');
  const auto input = ParseAmount(aText.substr(0, comma));
  const auto output =
    comma == std::string_view::npos ? std::optional(0.0) : ParseAmount(aText.substr(comma + 1));
  if (!input || !output) {
    return false;
  }
  aCall.m_promptTokens = input;
  aCall.m_maxOutputTokens = *output;
  return true;
}

/// Parses `NAME:TOKENS,NAME:TOKENS`.
bool ParseParts(std::string_view aText, CallInfo& aCall) {
  while (!aText.empty()) {
    const std::string_view entry = aText.substr(0, aText.find(','));
    const size_t colon = entry.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || aCall.m_promptParts.size() >= kMaxParts) {
      return false;
    }
    const auto tokens = ParseAmount(entry.substr(colon + 1));
    if (!tokens) {
      return false;
    }
    aCall.m_promptParts.push_back({ std::string(entry.substr(0, colon)), *tokens });
    aText.remove_prefix(std::min(aText.size(), entry.size() + 1));
  }
  return true;
}

bool IsMethod(const std::string& aText) {
  return std::all_of(
    aText.begin(), aText.end(), [](char aLetter) { return aLetter >= 'A' && aLetter <= 'Z'; });
}

} // namespace

tl::expected<ExplainQuery, std::string> ParseExplainQuery(const std::string& aTarget) {
  const auto read = [&](std::string_view aName) {
    return adapters::http1::QueryParameter(aTarget, aName);
  };
  ExplainQuery query;
  CallInfo& call = query.m_call;
  call.m_host = read("host");
  call.m_host.resize(std::min(call.m_host.size(), call.m_host.find(':')));
  if (call.m_host.empty() || call.m_host.size() > kMaxTextBytes) {
    return tl::unexpected(std::string("host"));
  }
  std::transform(call.m_host.begin(), call.m_host.end(), call.m_host.begin(), [](char aLetter) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(aLetter)));
  });
  call.m_path = read("path");
  call.m_path.resize(std::min(call.m_path.size(), call.m_path.find('?')));
  if (!call.m_path.starts_with('/') || call.m_path.size() > kMaxTextBytes) {
    return tl::unexpected(std::string("path"));
  }
  query.m_method = read("method");
  if (query.m_method.size() > kMaxTextBytes || !IsMethod(query.m_method)) {
    return tl::unexpected(std::string("method"));
  }
  query.m_team = read("team");
  const std::string tokens = read("tokens");
  if (!tokens.empty() && !ParseTokens(tokens, call)) {
    return tl::unexpected(std::string("tokens"));
  }
  if (!ParseParts(read("parts"), call)) {
    return tl::unexpected(std::string("parts"));
  }
  if (!call.m_promptParts.empty() && !call.m_promptTokens) {
    call.m_promptTokens = 0;
    for (const PromptPart& part : call.m_promptParts) {
      *call.m_promptTokens += part.m_tokens;
    }
  }
  return query;
}

} // namespace papayafield::forwarding
