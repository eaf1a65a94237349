#pragma once

#include "base/EnumNames.h"
#include "rollout/RolloutTypes.h"

#include <deque>
#include <string>

namespace papayafield::rollout {

/// What is known of a version.
enum class Verdict {
  Undecided,
  /// Enough answers, none of the comparisons speaks against the version.
  Good,
  Bad,
};

/// Parameters of the comparison. The error rates that they give are in docs/design/rollouts.md.
struct JudgeSettings {
  /// Length of the slices of time within which the versions are compared.
  base::Millis m_slice{ 1000 };
  /// A version is bad if its answers have at most this probability for one as good as the old one.
  double m_significance = 3e-6;
  /// Failure rate that is never held against a version: a crash of an endpoint, for instance.
  double m_tolerance = 0.02;
  /// Minimum number of bad answers for the verdict Bad.
  uint64_t m_minBad = 4;
  /// Number of answers from which a version may be good.
  uint64_t m_minAnswers = 20;
  /// Number of old answers in a slice and the one before it that the comparison of times needs.
  uint64_t m_minOldTimes = 20;
  /// Number of buckets by which an answer must be slower than one of the old version to count as
  /// slower: 1.77 times. Endpoints of one version differ by up to 1.6 times from their mean.
  size_t m_slowerBuckets = 2;
};

/// A verdict with its reason.
struct Judgement {
  Verdict m_verdict = Verdict::Undecided;
  /// "failures" or "slow"; empty if nothing speaks against the version.
  std::string m_reason;
  std::string m_route;
  uint64_t m_answers = 0;
  uint64_t m_bad = 0;
  /// Number of bad answers that one as good as the old version would have given.
  double m_expected = 0;
};

/// Compares the answers of a new version with those of the old one in the same slices of time, so
/// that a disturbance of both does not count. Each route is compared for failures and for slow
/// answers, over the whole roll-out and over its last slices: a version may turn bad later. Not
/// thread safe.
class VersionJudge {
public:
  explicit VersionJudge(JudgeSettings aSettings)
    : m_settings(aSettings) {}

  /// Records the running totals of the fleet at `aNow`. They must never decrease.
  void Record(const CountsByRoute& aTotals, base::TimePoint aNow);
  /// Returns what the records so far show.
  Judgement Judge() const;
  /// Returns the target's bad answers so far, for the rollback time. No test of significance is
  /// made of the count itself.
  BadAnswers Bad() const;

private:
  /// Levels of the old version's times above which answers are counted: the shares of its answers
  /// that are slower.
  static constexpr std::array<double, 4> kTails{ 0.01, 0.05, 0.2, 0.5 };
  /// Level of the old version's times of which an answer much slower is bad: the time that 5 %
  /// exceed.
  static constexpr size_t kBadTail = 1;
  /// Number of the last slices that are also judged by themselves.
  static constexpr size_t kRecentSlices = 2;

  /// One comparison: answers, bad ones, and how many bad ones were to be expected.
  struct Comparison {
    double m_answers = 0;
    uint64_t m_bad = 0;
    double m_expected = 0;

    Comparison& operator+=(const Comparison& aOther) {
      m_answers += aOther.m_answers;
      m_bad += aOther.m_bad;
      m_expected += aOther.m_expected;
      return *this;
    }
  };
  /// The comparison of failures, and those of times.
  struct RouteComparison {
    Comparison m_failures;
    std::array<Comparison, kTails.size()> m_slow;

    RouteComparison& operator+=(const RouteComparison& aOther);
  };
  using Slice = std::map<std::string, RouteComparison>;

  Slice Compare(const CountsByRoute& aCounts) const;
  /// The target's bad answers of one interval, and the rate of the old version in it or the one
  /// before.
  struct BadCount {
    uint64_t m_answers = 0;
    uint64_t m_bad = 0;
    double m_oldRate = 0;
  };

  void CountBad(const std::string& aRoute, const AnswerCounts& aOld, const AnswerCounts& aTarget);
  void AddBad(const BadCount& aCount, uint64_t aOldTotal);
  RouteComparison CompareRoute(const RouteCounts& aCounts, const AnswerCounts& aBefore) const;
  bool SpeaksAgainst(const Comparison& aComparison) const;
  bool Check(const Slice& aSlice, Judgement& aJudgement) const;
  static void Add(Slice& aTo, const Slice& aSlice);

  JudgeSettings m_settings;
  bool m_hasStart = false;
  base::TimePoint m_sliceStart{};
  CountsByRoute m_sliceTotals;
  CountsByRoute m_lastTotals;
  /// Old answers of the slice before the open one.
  CountsByRoute m_before;
  Slice m_whole;
  /// Counts of the interval between the last two records. Grants are spent within milliseconds, so
  /// that in a slice of 1 s all calls to the target may fall into a shorter disturbance.
  CountsByRoute m_binBefore;
  uint64_t m_bad = 0;
  /// Cumulative sum of the bad answers above the old version's rate, never below 0, so that a
  /// disturbance of the old version excuses nothing later; and the variance of all its terms.
  double m_excess = 0;
  double m_excessVariance = 0;
  std::deque<Slice> m_recent;
};

} // namespace papayafield::rollout

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<rollout::Verdict> = std::to_array<EnumName<rollout::Verdict>>({
  { rollout::Verdict::Undecided, "undecided" },
  { rollout::Verdict::Good, "good" },
  { rollout::Verdict::Bad, "bad" },
});

} // namespace papayafield::base
