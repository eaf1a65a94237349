#include "soak/Checks.h"

#include <algorithm>
#include <map>
#include <set>

namespace papayafield::soak {

using nlohmann::json;

namespace {

/// Number of events of a stream; must match Runner::kEventsPerStream of the fleet stand-in.
constexpr int kEventsPerStream = 12;

/// An unplanned fault may still show this long after its end.
constexpr base::Millis kRecoveryTime{ 3000 };
/// A request that crosses the close of its connection learns of it within this time.
constexpr base::Millis kMaxCrossingTime{ 200 };
/// A call that was sent up to this time after SIGTERM, and still runs in the last sixth of the
/// grace period, may be ended by the node.
constexpr base::Millis kLongCallSendTime{ 3000 };
constexpr base::Millis kLongCallTime = PlannedWork::kGracePeriod * 5 / 6;

std::string ExpectedBody(const CallRecord& aRecord) {
  if (!aRecord.m_target.starts_with("/stream/")) {
    return "answer to " + aRecord.m_target;
  }
  std::string text;
  for (int i = aRecord.m_lastEvent + 1; i <= kEventsPerStream; ++i) {
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
    if (record.m_end == CallEnd::Malformed) {
      aResult.m_violations.push_back(record.m_id + " got bytes that are no answer");
    }
    if (record.m_status == 503 || record.m_status == 429) {
      ++aResult.m_rejected;
      if (runs > 0) {
        aResult.m_violations.push_back(record.m_id + " was called not run and ran");
      }
    }
    if (record.m_status == 200) {
      ++aResult.m_served;
      if (record.m_body != ExpectedBody(record)) {
        aResult.m_violations.push_back(record.m_id + " got another body: " + record.m_body);
      }
      if (runs == 0) {
        aResult.m_violations.push_back(record.m_id + " was answered and never ran");
      }
    }
    // A node that has not applied the newest configuration yet does not know its host.
    const bool hostMayBeUnknown = record.m_configuration != 0;
    if (record.m_status == 401 || record.m_status == 400 ||
        (record.m_status == 404 && !hostMayBeUnknown)) {
      aResult.m_violations.push_back(record.m_id + " was denied with " +
                                     std::to_string(record.m_status));
    }
  }
}

bool Overlaps(const std::vector<FaultSpan>& aUnplanned,
              base::TimePoint aStart,
              base::TimePoint aEnd) {
  return std::any_of(aUnplanned.begin(), aUnplanned.end(), [&](const FaultSpan& aSpan) {
    return aSpan.m_start <= aEnd && aSpan.m_end + kRecoveryTime >= aStart;
  });
}

bool OutlastedAStop(const CallRecord& aRecord, const std::vector<PlannedStop>& aStops) {
  return std::any_of(aStops.begin(), aStops.end(), [&](const PlannedStop& aStop) {
    return aStop.m_address == aRecord.m_node &&
           aRecord.m_sentAt <= aStop.m_start + kLongCallSendTime &&
           aRecord.m_endedAt >= aStop.m_start + kLongCallTime &&
           aRecord.m_endedAt <= aStop.m_end.value_or(base::TimePoint::max()) + kMaxCrossingTime;
  });
}

bool CrossedAClose(const CallRecord& aRecord) {
  return aRecord.m_connectionWasUsed && !aRecord.m_answerBegan &&
         aRecord.m_endedAt - aRecord.m_sentAt <= kMaxCrossingTime;
}

std::string Describe(const CallRecord& aRecord, int aRuns) {
  const auto took =
    std::chrono::duration_cast<base::Millis>(aRecord.m_endedAt - aRecord.m_sentAt).count();
  return aRecord.m_target + " at " + aRecord.m_node.ToText() +
         " had no complete answer: " + std::string(base::NameOf(aRecord.m_end)) + " after " +
         std::to_string(took) + " ms, " + std::to_string(aRuns) + " runs, " +
         std::to_string(aRecord.m_body.size()) + " bytes" +
         (aRecord.m_connectionWasUsed ? ", kept connection" : ", new connection");
}

void CheckCompleteness(const std::vector<CallRecord>& aRecords,
                       const std::map<std::string, int>& aRuns,
                       const std::vector<PlannedStop>& aStops,
                       const std::vector<FaultSpan>& aUnplanned,
                       CheckResult& aResult) {
  for (const CallRecord& record : aRecords) {
    if (record.m_end == CallEnd::NotConnected ||
        Overlaps(aUnplanned, record.m_sentAt, record.m_endedAt)) {
      continue;
    }
    ++aResult.m_undisturbed;
    if (record.m_end == CallEnd::Answered) {
      continue;
    }
    const auto found = aRuns.find(record.m_id);
    const int runs = found == aRuns.end() ? 0 : found->second;
    if (runs > 0 && OutlastedAStop(record, aStops)) {
      ++aResult.m_outlasting;
    } else if (runs == 0 && CrossedAClose(record)) {
      ++aResult.m_crossed;
    } else {
      aResult.m_violations.push_back(Describe(record, runs));
    }
  }
}

void CheckStops(const std::vector<PlannedStop>& aStops,
                const std::vector<FaultSpan>& aUnplanned,
                CheckResult& aResult) {
  for (const PlannedStop& stop : aStops) {
    if (stop.m_killed && !Overlaps(aUnplanned, stop.m_start, *stop.m_end)) {
      aResult.m_violations.push_back(stop.m_address.ToText() +
                                     " still ran at the end of its grace period");
    }
  }
}

/// Reports calls that a node rejected for an unknown host although it had served the host before,
/// since its last launch, and no newer configuration was written.
void CheckConfigurations(const std::vector<CallRecord>& aRecords,
                         const std::vector<NodeLaunch>& aLaunches,
                         CheckResult& aResult) {
  const auto isRestarted = [&](const CallRecord& aServed, const CallRecord& aRejected) {
    return std::any_of(aLaunches.begin(), aLaunches.end(), [&](const NodeLaunch& aLaunch) {
      return aLaunch.m_address == aServed.m_node && aLaunch.m_time >= aServed.m_sentAt &&
             aLaunch.m_time <= aRejected.m_endedAt;
    });
  };
  std::map<int, std::vector<const CallRecord*>> served;
  for (const CallRecord& record : aRecords) {
    if (record.m_configuration != 0 && record.m_status == 200) {
      served[record.m_configuration].push_back(&record);
      ++aResult.m_newestServed;
    }
  }
  for (const CallRecord& record : aRecords) {
    if (record.m_status != 404 || record.m_configuration != record.m_newestConfiguration) {
      continue;
    }
    const auto& calls = served[record.m_configuration];
    const bool wentBack = std::any_of(calls.begin(), calls.end(), [&](const CallRecord* aServed) {
      return aServed->m_node == record.m_node && aServed->m_endedAt <= record.m_sentAt &&
             !isRestarted(*aServed, record);
    });
    if (wentBack) {
      aResult.m_violations.push_back(record.m_node.ToText() + " went back from configuration " +
                                     std::to_string(record.m_configuration));
    }
  }
}

/// Reports streams that went on at another version than those at which their first call ran from
/// the start.
void CheckVersions(const std::vector<CallRecord>& aRecords,
                   const json& aRuns,
                   CheckResult& aResult) {
  std::map<std::string, std::string> firstCalls;
  for (const CallRecord& record : aRecords) {
    if (record.m_resumes.empty()) {
      continue;
    }
    firstCalls[record.m_id] = record.m_resumes;
    ++aResult.m_resumed;
    aResult.m_resumedServed += record.m_status == 200 ? 1 : 0;
  }
  std::map<std::string, std::set<std::string>> began;
  std::map<std::string, std::set<std::string>> resumed;
  for (const json& run : aRuns) {
    const auto id = run.at("call").get<std::string>();
    const auto first = firstCalls.find(id);
    const bool isResumed = !run.at("last_event").get<std::string>().empty();
    (isResumed ? resumed : began)[first == firstCalls.end() ? id : first->second].insert(
      run.at("version").get<std::string>());
  }
  for (const auto& [id, versions] : resumed) {
    if (versions.size() > 1 || !began[id].contains(*versions.begin())) {
      aResult.m_violations.push_back("the stream of " + id + " went on at another version");
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

CheckResult CheckGuarantees(const std::vector<CallRecord>& aRecords,
                            const json& aReport,
                            const std::vector<PlannedStop>& aStops,
                            const std::vector<NodeLaunch>& aLaunches,
                            const std::vector<FaultSpan>& aUnplanned) {
  std::map<std::string, int> runs;
  for (const json& run : aReport.at("runs")) {
    ++runs[run.at("call").get<std::string>()];
  }
  CheckResult result;
  CheckCalls(aRecords, runs, result);
  CheckCompleteness(aRecords, runs, aStops, aUnplanned, result);
  CheckStops(aStops, aUnplanned, result);
  CheckConfigurations(aRecords, aLaunches, result);
  CheckVersions(aRecords, aReport.at("runs"), result);
  CheckLeaderCalls(aReport.at("duties"), result);
  return result;
}

} // namespace papayafield::soak
