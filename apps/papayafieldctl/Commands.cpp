#include "papayafieldctl/Commands.h"

#include "manifest/Manifest.h"
#include "papayafieldctl/Explanation.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <thread>
#include <tuple>

namespace papayafield::papayafieldctl {

namespace {

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr base::Millis kStatusPollInterval{ 100 };

std::optional<std::string> ReadFile(const std::string& aFile) {
  std::ifstream file(aFile);
  if (!file) {
    std::fprintf(stderr, "papayafieldctl: cannot read '%s'\n", aFile.c_str());
    return std::nullopt;
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

ExitCode ReportUnreachable() {
  std::fputs("papayafieldctl: no node answered; specify a reachable node with --node\n", stderr);
  return ExitCode::Unreachable;
}

ExitCode ReportErrorStatus(const NodeResponse& aResponse) {
  std::fprintf(stderr,
               "papayafieldctl: the node answered %d: %s\n",
               aResponse.m_status,
               base::ValueOr(aResponse.m_body, "title", std::string()).c_str());
  return ExitCode::Failed;
}

std::string NewApplyId() {
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", device(), device());
  return text;
}

/// Waits until `aGeneration` or a later one is active on each member; prints the result per member.
ExitCode WaitUntilActive(const Options& aOptions, const NodeClient& aClient, uint64_t aGeneration) {
  const auto deadline =
    std::chrono::steady_clock::now() + std::chrono::seconds(aOptions.m_waitSeconds);
  std::set<std::string> pending;
  for (const base::Address& member : aClient.Members()) {
    pending.insert(member.ToText());
  }
  while (!pending.empty() && std::chrono::steady_clock::now() < deadline) {
    for (auto position = pending.begin(); position != pending.end();) {
      const auto status =
        aClient.CallNode(base::Address::Parse(*position), "GET", "/operator/status", "");
      const uint64_t activeGeneration =
        status ? base::ValueOr(status->m_body, "generation", uint64_t{ 0 }) : 0;
      if (activeGeneration >= aGeneration) {
        std::printf("%s: generation %llu active\n",
                    position->c_str(),
                    static_cast<unsigned long long>(activeGeneration));
        position = pending.erase(position);
      } else {
        ++position;
      }
    }
    if (!pending.empty()) {
      std::this_thread::sleep_for(kStatusPollInterval);
    }
  }
  for (const std::string& member : pending) {
    std::printf("%s: not active yet\n", member.c_str());
  }
  return pending.empty() ? ExitCode::Done : ExitCode::Failed;
}

void PrintEvent(const nlohmann::json& aEvent) {
  const int64_t wallMs = base::ValueOr(aEvent, "wall_ms", int64_t{ 0 });
  constexpr int64_t kMillisPerSecond = 1000;
  const auto seconds = static_cast<time_t>(wallMs / kMillisPerSecond);
  tm utc{};
  gmtime_r(&seconds, &utc);
  char timeText[16];
  std::strftime(timeText, sizeof(timeText), "%H:%M:%S", &utc);
  std::printf("%s.%03d %-8s %-20s %-18s %-16s %s\n",
              timeText,
              static_cast<int>(wallMs % kMillisPerSecond),
              base::ValueOr(aEvent, "node", std::string()).c_str(),
              base::ValueOr(aEvent, "kind", std::string()).c_str(),
              base::ValueOr(aEvent, "request", std::string()).c_str(),
              base::ValueOr(aEvent, "subject", std::string()).c_str(),
              base::ValueOr(aEvent, "detail", std::string()).c_str());
}

} // namespace

ExitCode Validate(const Options& aOptions) {
  const auto text = ReadFile(aOptions.m_file);
  if (!text) {
    return ExitCode::Failed;
  }
  const auto manifest = manifest::ParseManifest(aOptions.m_file, *text);
  if (aOptions.m_json) {
    nlohmann::json findings = nlohmann::json::array();
    if (!manifest) {
      for (const base::Finding& finding : manifest.error().List()) {
        findings.push_back({ { "file", finding.m_file },
                             { "line", finding.m_line },
                             { "column", finding.m_column },
                             { "message", finding.m_message } });
      }
    }
    std::puts(base::DumpJson({ { "findings", findings } }).c_str());
  } else if (!manifest) {
    std::fputs(manifest.error().ToText().c_str(), stderr);
  } else {
    std::puts("The manifest is valid.");
  }
  return manifest ? ExitCode::Done : ExitCode::Findings;
}

ExitCode Apply(const Options& aOptions, const NodeClient& aClient) {
  const auto text = ReadFile(aOptions.m_file);
  if (!text) {
    return ExitCode::Failed;
  }
  // Reports all findings locally, before anything is sent.
  if (const auto manifest = manifest::ParseManifest(aOptions.m_file, *text); !manifest) {
    std::fputs(manifest.error().ToText().c_str(), stderr);
    return ExitCode::Findings;
  }
  uint64_t base = aOptions.m_baseGeneration.value_or(0);
  if (!aOptions.m_baseGeneration) {
    const auto current = aClient.CallAnyNode("GET", "/operator/manifest", "");
    if (!current) {
      return ReportUnreachable();
    }
    if (current->m_status != kOk) {
      return ReportErrorStatus(*current);
    }
    base = base::ValueOr(current->m_body, "generation", uint64_t{ 0 });
  }
  const std::string applyId = aOptions.m_applyId.empty() ? NewApplyId() : aOptions.m_applyId;
  const nlohmann::json body = { { "text", *text },
                                { "file", aOptions.m_file },
                                { "apply_id", applyId },
                                { "base", base },
                                { "set_by", aOptions.m_setBy } };
  const auto response = aClient.CallAnyNode("POST", "/operator/apply", base::DumpJson(body));
  const std::string retryCommand = "papayafieldctl apply " + aOptions.m_file + " --base " +
                                   std::to_string(base) + " --apply-id " + applyId;
  if (!response) {
    std::fprintf(
      stderr, "unknown: no response received; resolve it with: %s\n", retryCommand.c_str());
    return ExitCode::Unknown;
  }
  const std::string verdict = base::ValueOr(response->m_body, "verdict", std::string());
  const uint64_t generation = base::ValueOr(response->m_body, "generation", uint64_t{ 0 });
  if (aOptions.m_json) {
    std::puts(base::DumpJson(response->m_body).c_str());
  }
  if (response->m_status == kOk && verdict == "accepted") {
    if (!aOptions.m_json) {
      std::printf("accepted: generation %llu\n", static_cast<unsigned long long>(generation));
    }
    return aOptions.m_wait ? WaitUntilActive(aOptions, aClient, generation) : ExitCode::Done;
  }
  if (response->m_status == kConflict) {
    std::fprintf(stderr,
                 "rejected: conflicts with generation %llu, set by %s\n",
                 static_cast<unsigned long long>(generation),
                 base::ValueOr(response->m_body, "set_by", std::string()).c_str());
    return ExitCode::Conflict;
  }
  if (response->m_status == kUnprocessable) {
    std::fputs("rejected: the manifest has findings\n", stderr);
    return ExitCode::Findings;
  }
  if (verdict == "unknown") {
    std::fprintf(stderr, "unknown: resolve it with: %s\n", retryCommand.c_str());
    return ExitCode::Unknown;
  }
  if (verdict == "unavailable") {
    std::fputs("rejected: the platform cannot be reached; nothing was changed\n", stderr);
    return ExitCode::Failed;
  }
  return ReportErrorStatus(*response);
}

ExitCode Status(const Options& aOptions, const NodeClient& aClient) {
  const auto response = aClient.CallAnyNode("GET", "/operator/status", "");
  if (!response) {
    return ReportUnreachable();
  }
  if (response->m_status != kOk) {
    return ReportErrorStatus(*response);
  }
  const nlohmann::json& body = response->m_body;
  if (aOptions.m_json) {
    std::puts(base::DumpJson(body).c_str());
    return ExitCode::Done;
  }
  using base::ValueOr;
  std::printf("generation %llu, set by %s\n",
              static_cast<unsigned long long>(ValueOr(body, "generation", uint64_t{ 0 })),
              ValueOr(body, "set_by", std::string()).c_str());
  for (const auto& member : body["members"]) {
    std::printf("node %-10s %-10s zone %-8s %-22s generation %llu\n",
                ValueOr(member, "node", std::string()).c_str(),
                ValueOr(member, "state", std::string()).c_str(),
                ValueOr(member, "zone", std::string()).c_str(),
                ValueOr(member, "callers", std::string()).c_str(),
                static_cast<unsigned long long>(ValueOr(member, "generation", uint64_t{ 0 })));
  }
  for (const auto& endpoint : body["endpoints"]) {
    std::printf("endpoint %-12s %-8s zone %-8s %-18s runs %s\n",
                ValueOr(endpoint, "endpoint", std::string()).c_str(),
                ValueOr(endpoint, "state", std::string()).c_str(),
                ValueOr(endpoint, "zone", std::string()).c_str(),
                ValueOr(endpoint, "class", std::string()).c_str(),
                ValueOr(endpoint, "runs", std::string()).c_str());
  }
  return ExitCode::Done;
}

ExitCode ShowManifest(const Options& aOptions, const NodeClient& aClient) {
  const auto response = aClient.CallAnyNode("GET", "/operator/manifest", "");
  if (!response) {
    return ReportUnreachable();
  }
  if (response->m_status != kOk) {
    return ReportErrorStatus(*response);
  }
  if (aOptions.m_json) {
    std::puts(base::DumpJson(response->m_body).c_str());
  } else {
    std::fputs(base::ValueOr(response->m_body, "text", std::string()).c_str(), stdout);
  }
  return ExitCode::Done;
}

ExitCode Timeline(const Options& aOptions, const NodeClient& aClient) {
  std::vector<base::Address> members = aClient.Members();
  if (members.empty()) {
    members = aOptions.m_nodes;
  }
  std::string target = "/operator/timeline?";
  target += aOptions.m_requestFilter.empty() ? "" : "request=" + aOptions.m_requestFilter + "&";
  target += aOptions.m_subjectFilter.empty() ? "" : "subject=" + aOptions.m_subjectFilter;
  std::vector<nlohmann::json> events;
  bool reached = false;
  for (const base::Address& member : members) {
    const auto response = aClient.CallNode(member, "GET", target, "");
    if (response && response->m_status == kOk && response->m_body.is_array()) {
      reached = true;
      events.insert(events.end(), response->m_body.begin(), response->m_body.end());
    } else {
      std::fprintf(stderr, "papayafieldctl: %s did not answer\n", member.ToText().c_str());
    }
  }
  if (!reached) {
    return ReportUnreachable();
  }
  // Timestamps of the hybrid logical clock order causes before effects across all nodes.
  std::stable_sort(events.begin(), events.end(), [](const auto& aLeft, const auto& aRight) {
    const auto key = [](const nlohmann::json& aEvent) {
      return std::tuple(base::ValueOr(aEvent, "wall_ms", int64_t{ 0 }),
                        base::ValueOr(aEvent, "count", uint64_t{ 0 }),
                        base::ValueOr(aEvent, "node", std::string()));
    };
    return key(aLeft) < key(aRight);
  });
  for (const nlohmann::json& event : events) {
    if (aOptions.m_json) {
      std::puts(base::DumpJson(event).c_str());
    } else {
      PrintEvent(event);
    }
  }
  return ExitCode::Done;
}

ExitCode Explain(const Options& aOptions, const NodeClient& aClient) {
  if (aOptions.m_nodes.size() != 1 || aOptions.m_callHost.empty() || aOptions.m_callPath.empty()) {
    std::fputs("papayafieldctl: explain requires exactly one --node, --host and --path\n", stderr);
    return ExitCode::Usage;
  }
  const auto response = aClient.CallAnyNode("GET", ExplainTarget(aOptions), "");
  if (!response) {
    return ReportUnreachable();
  }
  if (response->m_status == kBadRequest) {
    std::fprintf(stderr,
                 "papayafieldctl: invalid --%s\n",
                 base::ValueOr(response->m_body, "parameter", std::string()).c_str());
    return ExitCode::Usage;
  }
  if (response->m_status != kOk || !response->m_body.is_object()) {
    return ReportErrorStatus(*response);
  }
  const std::string text =
    aOptions.m_json ? base::DumpJson(response->m_body) + "\n" : ExplanationText(response->m_body);
  std::fputs(text.c_str(), stdout);
  return ExitCode::Done;
}

ExitCode Drain(const Options& aOptions, const NodeClient& aClient) {
  if (aOptions.m_nodes.size() != 1) {
    std::fputs("papayafieldctl: drain requires exactly one --node\n", stderr);
    return ExitCode::Usage;
  }
  constexpr int kMillisPerSecond = 1000;
  const std::string query =
    aOptions.m_drainSeconds
      ? "?within_ms=" + std::to_string(*aOptions.m_drainSeconds * kMillisPerSecond)
      : "";
  const auto response = aClient.CallAnyNode("POST", "/operator/drain" + query, "");
  if (!response) {
    return ReportUnreachable();
  }
  if (response->m_status != kOk) {
    return ReportErrorStatus(*response);
  }
  std::puts("draining");
  return ExitCode::Done;
}

} // namespace papayafield::papayafieldctl
