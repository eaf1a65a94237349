#include "soak/StreamChecks.h"

#include <algorithm>
#include <set>

namespace papayafield::soak {

namespace {

/// Time without disruptions after which a node is in touch.
constexpr base::Millis kContactTime{ 3000 };
/// Number of resumed streams from which their share counts.
constexpr size_t kMinResumed = 12;
constexpr double kMinShareOfNew = 0.5;
constexpr size_t kMinServing = 2;
/// Number of tries that the report of lost streams lists.
constexpr size_t kMaxListedTries = 12;

/// Returns a time as Unix milliseconds, as in the logs of the nodes.
std::string LogTime(base::TimePoint aTime) {
  const auto age = std::chrono::duration_cast<base::Millis>(base::BootNow() - aTime);
  return std::to_string(base::WallMillis() - age.count());
}

/// The consecutive tries of a caller to begin a stream, or to resume it after the same event.
struct Episode {
  const StreamRecord* m_stream = nullptr;
  std::vector<const StreamTry*> m_tries;
  /// The try whose answer broke off; null for a new stream.
  const StreamTry* m_broken = nullptr;
  /// Version of the events before; empty for a new stream.
  std::string m_version;

  bool IsServed() const { return !m_tries.back()->m_events.empty(); }
};

std::vector<Episode> SplitTries(const StreamRecord& aRecord) {
  std::vector<Episode> episodes;
  std::string version;
  const StreamTry* broken = nullptr;
  for (const StreamTry& attempt : aRecord.m_tries) {
    if (episodes.empty() || episodes.back().IsServed()) {
      episodes.push_back({ &aRecord, {}, broken, version });
    }
    episodes.back().m_tries.push_back(&attempt);
    if (!attempt.m_events.empty()) {
      broken = &attempt;
      version = attempt.m_events.back().m_version;
    }
  }
  return episodes;
}

/// Returns when the try got its first event, or when it ended without one.
base::TimePoint DecidedAt(const StreamTry& aTry) {
  return aTry.m_events.empty() ? aTry.m_endedAt : aTry.m_events.front().m_receivedAt;
}

std::string Describe(const StreamTry& aTry) {
  std::string text = aTry.m_id + " at " + aTry.m_node.ToText() + " sent " + LogTime(aTry.m_sentAt) +
                     " ended " + LogTime(aTry.m_endedAt) + " " +
                     std::string(aTry.m_wasAbandoned ? "abandoned" : base::NameOf(aTry.m_end)) +
                     " status " + std::to_string(aTry.m_status) + " after event " +
                     std::to_string(aTry.m_lastEvent);
  const StreamEvent* last = nullptr;
  for (const StreamEvent& event : aTry.m_events) {
    if (last == nullptr || last->m_endpoint != event.m_endpoint) {
      text += ", from event " + std::to_string(event.m_number) + " at " +
              LogTime(event.m_receivedAt) + " " + event.m_endpoint + " of " + event.m_version;
    }
    last = &event;
  }
  return text;
}

std::string Describe(const StreamRecord& aRecord) {
  std::string text;
  for (const StreamTry& attempt : aRecord.m_tries) {
    text += "\n  " + Describe(attempt);
  }
  return text;
}

void CheckOrder(const StreamRecord& aRecord, StreamCheckResult& aResult) {
  std::set<std::string> versions;
  int last = 0;
  bool isOrdered = true;
  for (const StreamTry& attempt : aRecord.m_tries) {
    for (const StreamEvent& event : attempt.m_events) {
      versions.insert(event.m_version);
      isOrdered = isOrdered && event.m_number == last + 1;
      last = event.m_number;
    }
  }
  if (versions.size() > 1) {
    ++aResult.m_mixed;
    aResult.m_violations.push_back("ORDER: a stream holds events of two versions" +
                                   Describe(aRecord));
  }
  if (!isOrdered) {
    aResult.m_violations.push_back("ORDER: a stream repeats or lacks an event" + Describe(aRecord));
  }
  if (aRecord.m_isComplete && last != aRecord.m_eventCount) {
    aResult.m_violations.push_back("a stream was ended before its last event" + Describe(aRecord));
  }
}

/// Checks the shares of streams that go on against those that begin.
class LostCheck {
public:
  explicit LostCheck(const StreamConditions& aConditions)
    : m_conditions(aConditions) {}

  /// Adds an episode if one of its tries counts.
  void Add(const Episode& aEpisode) {
    const bool counts =
      std::any_of(aEpisode.m_tries.begin(), aEpisode.m_tries.end(), [&](const StreamTry* aTry) {
        return IsInTouch(*aTry) && (aEpisode.m_broken == nullptr ||
                                    ServingCount(*aTry, aEpisode.m_version) >= kMinServing);
      });
    if (counts) {
      (aEpisode.m_broken == nullptr ? m_new : m_resumed).push_back(aEpisode);
    }
  }

  void Check(StreamCheckResult& aResult) const {
    aResult.m_new = ShareOf(m_new);
    aResult.m_resumable = ShareOf(m_resumed);
    CheckShares("in the run", m_resumed, m_new, aResult);
    for (const NodeSpan& span : m_conditions.m_disruptions) {
      const auto isDuring = [&](base::TimePoint aTime) {
        return aTime >= span.m_start && aTime <= span.m_end + StreamCaller::kMaxLongGap;
      };
      std::vector<Episode> resumed;
      std::copy_if(
        m_resumed.begin(), m_resumed.end(), std::back_inserter(resumed), [&](const Episode& aOne) {
          return aOne.m_broken->m_node == span.m_address && isDuring(aOne.m_broken->m_endedAt);
        });
      std::vector<Episode> begun;
      std::copy_if(m_new.begin(), m_new.end(), std::back_inserter(begun), [&](const Episode& aOne) {
        return isDuring(aOne.m_tries.front()->m_sentAt);
      });
      CheckShares("after " + std::string(base::NameOf(span.m_kind)) + " of " +
                    span.m_address.ToText() + " from " + LogTime(span.m_start) + " to " +
                    LogTime(span.m_end),
                  resumed,
                  begun,
                  aResult);
    }
  }

private:
  /// Returns whether the node was in touch from when the try was sent until it was decided.
  bool IsInTouch(const StreamTry& aTry) const {
    const auto disturbs =
      [&](const base::Address& aNode, base::TimePoint aStart, base::TimePoint aEnd) {
        return aNode == aTry.m_node && aStart <= DecidedAt(aTry) &&
               aEnd + kContactTime >= aTry.m_sentAt;
      };
    return std::none_of(m_conditions.m_disruptions.begin(),
                        m_conditions.m_disruptions.end(),
                        [&](const NodeSpan& aSpan) {
                          return disturbs(aSpan.m_address, aSpan.m_start, aSpan.m_end);
                        }) &&
           std::none_of(m_conditions.m_stops.begin(),
                        m_conditions.m_stops.end(),
                        [&](const PlannedStop& aStop) {
                          return disturbs(
                            aStop.m_address, aStop.m_start, aStop.m_end.value_or(base::BootNow()));
                        }) &&
           std::none_of(m_conditions.m_launches.begin(),
                        m_conditions.m_launches.end(),
                        [&](const NodeLaunch& aLaunch) {
                          return disturbs(aLaunch.m_address, aLaunch.m_time, aLaunch.m_time);
                        });
  }

  /// Returns the number of endpoints of `aVersion` that served until the try was decided.
  size_t ServingCount(const StreamTry& aTry, const std::string& aVersion) const {
    return static_cast<size_t>(
      std::count_if(m_conditions.m_endpoints.begin(),
                    m_conditions.m_endpoints.end(),
                    [&](const EndpointSpan& aSpan) {
                      return aSpan.m_version == aVersion && aSpan.m_start <= aTry.m_sentAt &&
                             aSpan.m_end.value_or(base::TimePoint::max()) >= DecidedAt(aTry);
                    }));
  }

  static StreamShare ShareOf(const std::vector<Episode>& aEpisodes) {
    return { aEpisodes.size(),
             static_cast<size_t>(
               std::count_if(aEpisodes.begin(), aEpisodes.end(), [](const Episode& aOne) {
                 return aOne.IsServed();
               })) };
  }

  static void CheckShares(const std::string& aWhere,
                          const std::vector<Episode>& aResumed,
                          const std::vector<Episode>& aNew,
                          StreamCheckResult& aResult) {
    const StreamShare resumed = ShareOf(aResumed);
    const StreamShare begun = ShareOf(aNew);
    if (resumed.m_requested < kMinResumed || resumed.Value() >= begun.Value() * kMinShareOfNew) {
      return;
    }
    std::string text = "LOST: " + aWhere + ", " + std::to_string(resumed.m_served) + " of " +
                       std::to_string(resumed.m_requested) + " resumed streams went on; " +
                       std::to_string(begun.m_served) + " of " + std::to_string(begun.m_requested) +
                       " new ones began";
    size_t listed = 0;
    for (const Episode& episode : aResumed) {
      for (const StreamTry* attempt : episode.m_tries) {
        if (!episode.IsServed() && listed++ < kMaxListedTries) {
          text += "\n  " + Describe(*attempt) + ", begun by " +
                  episode.m_stream->m_tries.front().m_id + " at " +
                  episode.m_stream->m_tries.front().m_node.ToText() + " of " + episode.m_version;
        }
      }
    }
    aResult.m_violations.push_back(std::move(text));
  }

  const StreamConditions& m_conditions;
  std::vector<Episode> m_new;
  std::vector<Episode> m_resumed;
};

} // namespace

StreamCheckResult CheckStreams(const std::vector<StreamRecord>& aRecords,
                               const StreamConditions& aConditions) {
  StreamCheckResult result;
  LostCheck lost(aConditions);
  for (const StreamRecord& record : aRecords) {
    ++result.m_streams;
    result.m_complete += record.m_isComplete ? 1 : 0;
    CheckOrder(record, result);
    for (const Episode& episode : SplitTries(record)) {
      result.m_resumed += episode.m_broken == nullptr ? 0 : 1;
      lost.Add(episode);
    }
  }
  lost.Check(result);
  return result;
}

} // namespace papayafield::soak
