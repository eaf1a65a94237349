#include "soak/Checks.h"

#include <map>
#include <set>

namespace papayafield::soak {

using nlohmann::json;

namespace {

/// Number of events of a stream; must match Runner::kEventsPerStream of the fleet stand-in.
constexpr int kEventsPerStream = 12;

std::string ExpectedBody(const std::string& aTarget) {
  if (!aTarget.starts_with("/stream/")) {
    return "answer to " + aTarget;
  }
  std::string text;
  for (int i = 1; i <= kEventsPerStream; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
  }
  return text;
}

void CheckCalls(const std::vector<CallRecord>& aRecords,
                const std::map<std::string, int>& aRuns,
                CheckResult& aResult) {
  for (const CallRecord& record : aRecords) {
    ++aResult.m_calls;
    const auto found = aRuns.find(record.m_id);
    const int runs = found == aRuns.end() ? 0 : found->second;
    const bool unsafe = record.m_target.starts_with("/once/");
    if (unsafe && runs > 1) {
      aResult.m_violations.push_back(record.m_id + " ran " + std::to_string(runs) + " times");
    }
    if (record.m_status == 503 || record.m_status == 429) {
      ++aResult.m_rejected;
      if (runs > 0) {
        aResult.m_violations.push_back(record.m_id + " was called not run and ran");
      }
    }
    if (record.m_status == 200) {
      ++aResult.m_served;
      if (record.m_body != ExpectedBody(record.m_target)) {
        aResult.m_violations.push_back(record.m_id + " got another body: " + record.m_body);
      }
      if (runs == 0) {
        aResult.m_violations.push_back(record.m_id + " was answered and never ran");
      }
    }
    if (record.m_status == 401 || record.m_status == 404 || record.m_status == 400) {
      aResult.m_violations.push_back(record.m_id + " was denied with " +
                                     std::to_string(record.m_status));
    }
  }
}

void CheckLeaderCalls(const json& aLeaderCalls, CheckResult& aResult) {
  std::map<int64_t, std::set<std::string>> counts;
  uint64_t lastFencingToken = 0;
  for (const json& call : aLeaderCalls) {
    const json& body = call.at("body");
    const auto window = body.at("window_id").get<int64_t>();
    counts[window].insert(body.at("counts").dump());
    if (counts[window].size() > 1) {
      aResult.m_violations.push_back("window " + std::to_string(window) +
                                     " has two sets of counts");
    }
    if (call.at("fence").get<uint64_t>() < lastFencingToken) {
      aResult.m_violations.push_back("a smaller fence was accepted");
    }
    lastFencingToken = call.at("fence").get<uint64_t>();
  }
}

} // namespace

CheckResult CheckGuarantees(const std::vector<CallRecord>& aRecords, const json& aReport) {
  std::map<std::string, int> runs;
  for (const json& run : aReport.at("runs")) {
    ++runs[run.at("call").get<std::string>()];
  }
  CheckResult result;
  CheckCalls(aRecords, runs, result);
  CheckLeaderCalls(aReport.at("duties"), result);
  return result;
}

} // namespace papayafield::soak
