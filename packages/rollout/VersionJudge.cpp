#include "rollout/VersionJudge.h"

#include <algorithm>

namespace papayafield::rollout {

namespace {

/// Key of the sum over all routes; no route is called so.
const std::string kAllRoutes;

uint64_t Difference(uint64_t aLater, uint64_t aEarlier) {
  return aLater > aEarlier ? aLater - aEarlier : 0;
}

AnswerCounts Difference(const AnswerCounts& aLater, const AnswerCounts& aEarlier) {
  AnswerCounts result;
  result.m_answers = Difference(aLater.m_answers, aEarlier.m_answers);
  result.m_failures = Difference(aLater.m_failures, aEarlier.m_failures);
  result.m_repeatedLosses = Difference(aLater.m_repeatedLosses, aEarlier.m_repeatedLosses);
  for (size_t i = 0; i < kTimeBuckets; ++i) {
    result.m_times[i] = Difference(aLater.m_times[i], aEarlier.m_times[i]);
  }
  return result;
}

CountsByRoute Difference(const CountsByRoute& aLater, const CountsByRoute& aEarlier) {
  CountsByRoute result;
  for (const auto& [route, counts] : aLater) {
    const auto earlier = aEarlier.find(route);
    const RouteCounts before = earlier == aEarlier.end() ? RouteCounts{} : earlier->second;
    result[route] = { Difference(counts.m_old, before.m_old),
                      Difference(counts.m_target, before.m_target) };
  }
  return result;
}

/// Returns the number of times in the buckets from `aBucket` on.
uint64_t CountFrom(const AnswerCounts& aCounts, size_t aBucket) {
  uint64_t count = 0;
  for (size_t i = aBucket; i < kTimeBuckets; ++i) {
    count += aCounts.m_times[i];
  }
  return count;
}

/// Returns an upper estimate of a rate of which `aCount` of `aTotal` cases were seen: three
/// standard deviations, and one case that happened not to occur.
double UpperRate(uint64_t aCount, uint64_t aTotal) {
  const auto total = static_cast<double>(std::max<uint64_t>(aTotal, 1));
  const double rate = static_cast<double>(aCount) / total;
  return std::min(rate + 3 * std::sqrt(rate * (1 - rate) / total) + 1 / total, 1.0);
}

/// Returns the bucket of the time that the share `aTail` of the answers reach or exceed.
size_t TailBucket(const AnswerCounts& aCounts, double aTail) {
  const auto total = static_cast<double>(CountFrom(aCounts, 0));
  size_t bucket = 0;
  while (bucket<kTimeBuckets&& static_cast<double>(CountFrom(aCounts, bucket))> aTail * total) {
    ++bucket;
  }
  return bucket;
}

double Rate(uint64_t aCount, uint64_t aTotal) {
  return aTotal == 0 ? 0 : static_cast<double>(aCount) / static_cast<double>(aTotal);
}

/// Returns the probability of at least `aBad` of `aTotal` cases that each have the probability
/// `aRate`.
double TailProbability(uint64_t aBad, double aTotal, double aRate) {
  if (aBad == 0 || aRate >= 1) {
    return 1;
  }
  const auto bad = static_cast<double>(aBad);
  // A stream that breaks counts as an answer when it begins, which may be in an earlier slice.
  aTotal = std::max(aTotal, bad);
  double term =
    std::exp(std::lgamma(aTotal + 1) - std::lgamma(bad + 1) - std::lgamma(aTotal - bad + 1) +
             bad * std::log(aRate) + (aTotal - bad) * std::log1p(-aRate));
  double sum = 0;
  for (double k = bad; k <= aTotal && term > sum * 1e-9; ++k) {
    sum += term;
    term *= (aTotal - k) / (k + 1) * aRate / (1 - aRate);
  }
  return std::min(sum, 1.0);
}

} // namespace

VersionJudge::RouteComparison& VersionJudge::RouteComparison::operator+=(
  const RouteComparison& aOther) {
  m_failures += aOther.m_failures;
  for (size_t i = 0; i < m_slow.size(); ++i) {
    m_slow[i] += aOther.m_slow[i];
  }
  return *this;
}

void VersionJudge::Add(Slice& aTo, const Slice& aSlice) {
  for (const auto& [route, comparison] : aSlice) {
    aTo[route] += comparison;
  }
}

VersionJudge::RouteComparison VersionJudge::CompareRoute(const RouteCounts& aCounts,
                                                         const AnswerCounts& aBefore) const {
  RouteComparison result;
  AnswerCounts old = aCounts.m_old;
  old += aBefore;
  const AnswerCounts& target = aCounts.m_target;
  const auto answers = static_cast<double>(target.m_answers);
  result.m_failures = { answers,
                        target.m_failures,
                        answers * std::max(m_settings.m_tolerance,
                                           1.5 * UpperRate(old.m_failures, old.m_answers)) };
  const uint64_t oldTimes = CountFrom(old, 0);
  const uint64_t targetTimes = CountFrom(target, 0);
  if (oldTimes < m_settings.m_minOldTimes || targetTimes == 0) {
    return result;
  }
  for (size_t i = 0; i < kTails.size(); ++i) {
    const size_t bucket = TailBucket(old, kTails[i]);
    const uint64_t slower = CountFrom(old, bucket);
    const double rate = std::min(UpperRate(slower, oldTimes) + m_settings.m_tolerance, 1.0);
    result.m_slow[i] = { static_cast<double>(targetTimes),
                         CountFrom(target,
                                   std::min(bucket + m_settings.m_slowerBuckets, kTimeBuckets - 1)),
                         static_cast<double>(targetTimes) * rate };
  }
  return result;
}

VersionJudge::Slice VersionJudge::Compare(const CountsByRoute& aCounts) const {
  Slice slice;
  RouteCounts all;
  AnswerCounts allBefore;
  for (const auto& [route, counts] : aCounts) {
    const auto before = m_before.find(route);
    const AnswerCounts& old = before == m_before.end() ? AnswerCounts{} : before->second.m_old;
    slice[route] = CompareRoute(counts, old);
    all += counts;
    allBefore += old;
  }
  // Times of different routes cannot be compared with one another.
  slice[kAllRoutes].m_failures = CompareRoute(all, allBefore).m_failures;
  return slice;
}

void VersionJudge::Record(const CountsByRoute& aTotals, base::TimePoint aNow) {
  if (!m_hasStart) {
    m_hasStart = true;
    m_sliceStart = aNow;
  }
  const CountsByRoute bin = Difference(aTotals, m_lastTotals);
  for (const auto& [route, counts] : bin) {
    CountBad(route, counts.m_old, counts.m_target);
  }
  m_binBefore = bin;
  m_lastTotals = aTotals;
  if (aNow - m_sliceStart < m_settings.m_slice) {
    return;
  }
  const CountsByRoute counts = Difference(m_lastTotals, m_sliceTotals);
  const Slice slice = Compare(counts);
  Add(m_whole, slice);
  m_recent.push_back(slice);
  if (m_recent.size() > kRecentSlices) {
    m_recent.pop_front();
  }
  m_before = counts;
  m_sliceTotals = m_lastTotals;
  m_sliceStart = aNow;
}

void VersionJudge::CountBad(const std::string& aRoute,
                            const AnswerCounts& aOld,
                            const AnswerCounts& aTarget) {
  const AnswerCounts& before = m_binBefore[aRoute].m_old;
  AnswerCounts both = aOld;
  both += before;
  // Each broken call is a bad answer, also those of one crash.
  const auto failed = [](const AnswerCounts& aCounts) {
    return aCounts.m_failures + aCounts.m_repeatedLosses;
  };
  const auto ended = [](const AnswerCounts& aCounts) {
    return aCounts.m_answers + aCounts.m_repeatedLosses;
  };
  BadCount failures{ ended(aTarget), failed(aTarget), 0 };
  failures.m_oldRate = std::max({ Rate(failed(aOld), ended(aOld)),
                                  Rate(failed(before), ended(before)),
                                  Rate(failed(both), ended(both)) });
  AddBad(failures, ended(both));
  const uint64_t oldTimes = CountFrom(both, 0);
  if (oldTimes >= m_settings.m_minOldTimes) {
    const size_t bucket =
      std::min(TailBucket(both, kTails[kBadTail]) + m_settings.m_slowerBuckets, kTimeBuckets - 1);
    BadCount slow{ CountFrom(aTarget, 0), CountFrom(aTarget, bucket), 0 };
    slow.m_oldRate = std::max({ Rate(CountFrom(aOld, bucket), CountFrom(aOld, 0)),
                                Rate(CountFrom(before, bucket), CountFrom(before, 0)),
                                Rate(CountFrom(both, bucket), oldTimes) });
    AddBad(slow, oldTimes);
  }
}

void VersionJudge::AddBad(const BadCount& aCount, uint64_t aOldTotal) {
  const double rate = std::min(aCount.m_oldRate, 1.0);
  const auto bad = static_cast<double>(aCount.m_bad);
  // A stream that breaks counts as an answer when it begins, which may be in an earlier interval.
  const auto total = static_cast<double>(std::max(aCount.m_answers, aCount.m_bad));
  m_bad += aCount.m_bad;
  m_excess = std::max(m_excess + bad - rate * total, 0.0);
  m_excessVariance +=
    rate * (1 - rate) * total * (1 + total / static_cast<double>(std::max<uint64_t>(aOldTotal, 1)));
}

BadAnswers VersionJudge::Bad() const {
  return { m_bad, std::max(m_excess - 3 * std::sqrt(m_excessVariance), 0.0) };
}

bool VersionJudge::SpeaksAgainst(const Comparison& aComparison) const {
  return aComparison.m_bad >= m_settings.m_minBad &&
         static_cast<double>(aComparison.m_bad) > aComparison.m_expected &&
         TailProbability(aComparison.m_bad,
                         aComparison.m_answers,
                         aComparison.m_expected / std::max(aComparison.m_answers, 1.0)) <
           m_settings.m_significance;
}

bool VersionJudge::Check(const Slice& aSlice, Judgement& aJudgement) const {
  const auto report =
    [&](const std::string& aRoute, const char* aReason, const Comparison& aComparison) {
      aJudgement = { Verdict::Bad,
                     aReason,
                     aRoute,
                     static_cast<uint64_t>(aComparison.m_answers),
                     aComparison.m_bad,
                     aComparison.m_expected };
    };
  for (const auto& [route, comparison] : aSlice) {
    if (SpeaksAgainst(comparison.m_failures)) {
      report(route, "failures", comparison.m_failures);
      return true;
    }
    for (const Comparison& slow : comparison.m_slow) {
      if (SpeaksAgainst(slow)) {
        report(route, "slow", slow);
        return true;
      }
    }
  }
  return false;
}

Judgement VersionJudge::Judge() const {
  Judgement judgement;
  const Slice open = Compare(Difference(m_lastTotals, m_sliceTotals));
  Slice recent = open;
  for (const Slice& slice : m_recent) {
    Add(recent, slice);
  }
  Slice whole = m_whole;
  Add(whole, open);
  if (Check(recent, judgement) || Check(whole, judgement)) {
    return judgement;
  }
  const Comparison& all = whole[kAllRoutes].m_failures;
  judgement.m_answers = static_cast<uint64_t>(all.m_answers);
  judgement.m_bad = all.m_bad;
  judgement.m_expected = all.m_expected;
  if (judgement.m_answers >= m_settings.m_minAnswers) {
    judgement.m_verdict = Verdict::Good;
  }
  return judgement;
}

} // namespace papayafield::rollout
