#include "papayafieldctl/Explanation.h"

#include "adapters/http1/Head.h"
#include "base/Json.h"

#include <cstdio>

namespace papayafield::papayafieldctl {

using nlohmann::json;

namespace {

std::string Text(const json& aObject, const char* aKey) {
  return base::ValueOr(aObject, aKey, std::string());
}

std::string Number(const json& aObject, const char* aKey, int aDecimals = 0) {
  if (!aObject.contains(aKey) || !aObject[aKey].is_number()) {
    return "-";
  }
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", aDecimals, aObject[aKey].get<double>());
  return text;
}

/// Returns the member `aKey`; an empty object if it is missing or null.
json Section(const json& aObject, const char* aKey) {
  const auto found = aObject.find(aKey);
  return found != aObject.end() && found->is_object() ? *found : json::object();
}

std::string AddSection(const char* aName, const std::string& aText) {
  return std::string(aName) + ": " + aText + "\n";
}

std::string RefusalText(const json& aRefusal) {
  return AddSection("refusal",
                    Number(aRefusal, "status") + " " + Text(aRefusal, "reason") +
                      ", retry after about " + Number(aRefusal, "retry_after_s", 2) + " s");
}

std::string AdmissionText(const json& aAdmission) {
  return AddSection("admission",
                    "expected " + Number(aAdmission, "expected_ms", 1) + " ms, time left " +
                      Number(aAdmission, "time_left_ms") + " ms, calls " +
                      Number(aAdmission, "calls") + ", waiting " + Number(aAdmission, "waiting") +
                      ", slots " + Number(aAdmission, "slots"));
}

std::string QuotaText(const json& aQuota) {
  const bool admits = base::ValueOr(aQuota, "admits", false);
  return AddSection("quota",
                    std::string(admits ? "admits the call" : "does not admit the call") +
                      ", level " + Number(aQuota, "level", 1) + ", rate " +
                      Number(aQuota, "rate", 1) + "/s, burst " + Number(aQuota, "burst", 1));
}

std::string PeerLoadsText(const json& aLoads) {
  return AddSection("peers' loads",
                    Number(aLoads, "peers") + " peers, " + Number(aLoads, "youngest_ms") + " to " +
                      Number(aLoads, "oldest_ms") + " ms old");
}

std::string CandidateLine(const json& aCandidate) {
  std::string state = Text(aCandidate, "excluded");
  state = state.empty() ? Text(aCandidate, "avoided") : "excluded: " + state;
  char line[512];
  std::snprintf(line,
                sizeof(line),
                "  %-20s %10s %6s %9s %8s %6s %5s  %s\n",
                Text(aCandidate, "endpoint").c_str(),
                Number(aCandidate, "expected_ms", 1).c_str(),
                Number(aCandidate, "open_calls").c_str(),
                Number(aCandidate, "pending_tokens").c_str(),
                Number(aCandidate, "prefill_tokens_per_ms", 1).c_str(),
                Number(aCandidate, "failure_rate", 2).c_str(),
                Number(aCandidate, "cache_rank").c_str(),
                state.c_str());
  return line;
}

std::string CandidatesText(const json& aAnswer) {
  const auto candidates = aAnswer.find("candidates");
  if (candidates == aAnswer.end() || !candidates->is_array() || candidates->empty()) {
    return "candidates: none\n";
  }
  std::string text = "candidates:\n  endpoint             expect. ms  calls    tokens  tok/ms  "
                     " fail  rank  state\n";
  for (const json& candidate : *candidates) {
    text += CandidateLine(candidate);
  }
  const auto omitted = base::ValueOr(aAnswer, "candidates_omitted", uint64_t{ 0 });
  return omitted == 0 ? text : text + "  and " + std::to_string(omitted) + " more\n";
}

} // namespace

std::string ExplainTarget(const Options& aOptions) {
  std::string target = "/explain?";
  const auto add = [&](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      target += target.ends_with('?') ? "" : "&";
      target += std::string(aName) + "=" + adapters::http1::PercentEncode(aValue);
    }
  };
  add("host", aOptions.m_callHost);
  add("path", aOptions.m_callPath);
  add("method", aOptions.m_callMethod);
  add("team", aOptions.m_callTeam);
  add("parts", aOptions.m_callParts);
  add("tokens", aOptions.m_callTokens);
  return target;
}

std::string ExplanationText(const json& aAnswer) {
  std::string text = Text(aAnswer, "note") + "\n";
  text += AddSection("outcome", Text(aAnswer, "outcome"));
  if (const json refusal = Section(aAnswer, "refusal"); !refusal.empty()) {
    text += RefusalText(refusal);
  }
  if (!aAnswer.contains("route")) {
    return text;
  }
  text += AddSection("route", Text(aAnswer, "route") + ", service " + Text(aAnswer, "service"));
  if (const std::string endpoint = Text(aAnswer, "endpoint"); !endpoint.empty()) {
    text +=
      AddSection("endpoint", endpoint + ", queue " + Number(aAnswer, "queue_delay_ms", 1) + " ms");
  }
  if (aAnswer.contains("engine_priority") && aAnswer["engine_priority"].is_number()) {
    text += AddSection("engine priority",
                       Number(aAnswer, "engine_priority") + ", slack " +
                         Number(aAnswer, "slack_ms") + " ms");
  }
  if (const json admission = Section(aAnswer, "admission"); !admission.empty()) {
    text += AdmissionText(admission);
  }
  if (const json quota = Section(aAnswer, "quota"); !quota.empty()) {
    text += QuotaText(quota);
  }
  text += PeerLoadsText(Section(aAnswer, "peer_loads"));
  return text + CandidatesText(aAnswer);
}

} // namespace papayafield::papayafieldctl
