#include "papayafieldctl/Commands.h"

#include "manifest/Manifest.h"

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
constexpr int kConflict = 409;
constexpr int kUnprocessable = 422;
constexpr base::Millis kWaitPause{ 100 };

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

ExitCode Unreachable() {
  std::fputs("papayafieldctl: no node answered; specify a reachable node with --node\n", stderr);
  return ExitCode::Unreachable;
}

ExitCode Refused(const NodeAnswer& aAnswer) {
  std::fprintf(stderr,
               "papayafieldctl: the node answered %d: %s\n",
               aAnswer.m_status,
               base::ValueOr(aAnswer.m_body, "title", std::string()).c_str());
  return ExitCode::Failed;
}

std::string NewApplyId() {
  std::random_device device;
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", device(), device());
  return text;
}

/// Waits until `aGeneration` or a later one is active on each member; prints the result per member.
ExitCode WaitInForce(const Options& aOptions, const NodeClient& aClient, uint64_t aGeneration) {
  const auto until =
    std::chrono::steady_clock::now() + std::chrono::seconds(aOptions.m_waitSeconds);
  std::set<std::string> waiting;
  for (const base::Address& member : aClient.Members()) {
    waiting.insert(member.ToText());
  }
  while (!waiting.empty() && std::chrono::steady_clock::now() < until) {
    for (auto at = waiting.begin(); at != waiting.end();) {
      const auto status = aClient.AskOne(base::Address::Parse(*at), "GET", "/operator/status", "");
      const uint64_t present =
        status ? base::ValueOr(status->m_body, "generation", uint64_t{ 0 }) : 0;
      if (present >= aGeneration) {
        std::printf(
          "%s: generation %llu active\n", at->c_str(), static_cast<unsigned long long>(present));
        at = waiting.erase(at);
      } else {
        ++at;
      }
    }
    if (!waiting.empty()) {
      std::this_thread::sleep_for(kWaitPause);
    }
  }
  for (const std::string& member : waiting) {
    std::printf("%s: not active yet\n", member.c_str());
  }
  return waiting.empty() ? ExitCode::Done : ExitCode::Failed;
}

void PrintEvent(const nlohmann::json& aEvent) {
  const int64_t wall = base::ValueOr(aEvent, "wall_ms", int64_t{ 0 });
  constexpr int64_t kMillisPerSecond = 1000;
  const auto seconds = static_cast<time_t>(wall / kMillisPerSecond);
  tm parts{};
  gmtime_r(&seconds, &parts);
  char clock[16];
  std::strftime(clock, sizeof(clock), "%H:%M:%S", &parts);
  std::printf("%s.%03d %-8s %-20s %-18s %-16s %s\n",
              clock,
              static_cast<int>(wall % kMillisPerSecond),
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
  uint64_t base = aOptions.m_base.value_or(0);
  if (!aOptions.m_base) {
    const auto present = aClient.Ask("GET", "/operator/manifest", "");
    if (!present) {
      return Unreachable();
    }
    if (present->m_status != kOk) {
      return Refused(*present);
    }
    base = base::ValueOr(present->m_body, "generation", uint64_t{ 0 });
  }
  const std::string applyId = aOptions.m_applyId.empty() ? NewApplyId() : aOptions.m_applyId;
  const nlohmann::json body = { { "text", *text },
                                { "file", aOptions.m_file },
                                { "apply_id", applyId },
                                { "base", base },
                                { "set_by", aOptions.m_setBy } };
  const auto answer = aClient.Ask("POST", "/operator/apply", base::DumpJson(body));
  const std::string settle = "papayafieldctl apply " + aOptions.m_file + " --base " +
                             std::to_string(base) + " --apply-id " + applyId;
  if (!answer) {
    std::fprintf(stderr, "unknown: no response received; resolve it with: %s\n", settle.c_str());
    return ExitCode::Unknown;
  }
  const std::string verdict = base::ValueOr(answer->m_body, "verdict", std::string());
  const uint64_t generation = base::ValueOr(answer->m_body, "generation", uint64_t{ 0 });
  if (aOptions.m_json) {
    std::puts(base::DumpJson(answer->m_body).c_str());
  }
  if (answer->m_status == kOk && verdict == "accepted") {
    if (!aOptions.m_json) {
      std::printf("accepted: generation %llu\n", static_cast<unsigned long long>(generation));
    }
    return aOptions.m_wait ? WaitInForce(aOptions, aClient, generation) : ExitCode::Done;
  }
  if (answer->m_status == kConflict) {
    std::fprintf(stderr,
                 "rejected: conflicts with generation %llu, set by %s\n",
                 static_cast<unsigned long long>(generation),
                 base::ValueOr(answer->m_body, "set_by", std::string()).c_str());
    return ExitCode::Conflict;
  }
  if (answer->m_status == kUnprocessable) {
    std::fputs("rejected: the manifest has findings\n", stderr);
    return ExitCode::Findings;
  }
  if (verdict == "unknown") {
    std::fprintf(stderr, "unknown: resolve it with: %s\n", settle.c_str());
    return ExitCode::Unknown;
  }
  if (verdict == "unavailable") {
    std::fputs("rejected: the platform cannot be reached; nothing was changed\n", stderr);
    return ExitCode::Failed;
  }
  return Refused(*answer);
}

ExitCode Status(const Options& aOptions, const NodeClient& aClient) {
  const auto answer = aClient.Ask("GET", "/operator/status", "");
  if (!answer) {
    return Unreachable();
  }
  if (answer->m_status != kOk) {
    return Refused(*answer);
  }
  const nlohmann::json& body = answer->m_body;
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
  const auto answer = aClient.Ask("GET", "/operator/manifest", "");
  if (!answer) {
    return Unreachable();
  }
  if (answer->m_status != kOk) {
    return Refused(*answer);
  }
  if (aOptions.m_json) {
    std::puts(base::DumpJson(answer->m_body).c_str());
  } else {
    std::fputs(base::ValueOr(answer->m_body, "text", std::string()).c_str(), stdout);
  }
  return ExitCode::Done;
}

ExitCode Timeline(const Options& aOptions, const NodeClient& aClient) {
  std::vector<base::Address> members = aClient.Members();
  if (members.empty()) {
    members = aOptions.m_nodes;
  }
  std::string target = "/operator/timeline?";
  target += aOptions.m_request.empty() ? "" : "request=" + aOptions.m_request + "&";
  target += aOptions.m_subject.empty() ? "" : "subject=" + aOptions.m_subject;
  std::vector<nlohmann::json> events;
  bool reached = false;
  for (const base::Address& member : members) {
    const auto answer = aClient.AskOne(member, "GET", target, "");
    if (answer && answer->m_status == kOk && answer->m_body.is_array()) {
      reached = true;
      events.insert(events.end(), answer->m_body.begin(), answer->m_body.end());
    } else {
      std::fprintf(stderr, "papayafieldctl: %s did not answer\n", member.ToText().c_str());
    }
  }
  if (!reached) {
    return Unreachable();
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

ExitCode Drain(const Options& aOptions, const NodeClient& aClient) {
  if (aOptions.m_nodes.size() != 1) {
    std::fputs("papayafieldctl: drain requires exactly one --node\n", stderr);
    return ExitCode::Usage;
  }
  constexpr int kMillisPerSecond = 1000;
  const std::string within =
    aOptions.m_within ? "?within_ms=" + std::to_string(*aOptions.m_within * kMillisPerSecond) : "";
  const auto answer = aClient.Ask("POST", "/operator/drain" + within, "");
  if (!answer) {
    return Unreachable();
  }
  if (answer->m_status != kOk) {
    return Refused(*answer);
  }
  std::puts("draining");
  return ExitCode::Done;
}

} // namespace papayafield::papayafieldctl
