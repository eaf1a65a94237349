#include "rollout/VersionJudge.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>

using namespace papayafield;
using namespace papayafield::rollout;

namespace {

constexpr int kSeeds = 1000;
constexpr int kTicksPerSecond = 4;
constexpr base::Millis kTick{ 1000 / kTicksPerSecond };
constexpr int kEndpoints = 8;

/// One simulated answer.
struct Answer {
  double m_ms = 0;
  bool m_failed = false;
};

/// A simulated load and version.
struct Scenario {
  double m_callsPerSecond = 300;
  int m_seconds = 11;
  /// Changes an answer of the target at the time `aSecond`.
  std::function<
    void(Answer&, double aSecond, const std::string& aRoute, int aEndpoint, double aDraw)>
    m_target = [](Answer&, double, const std::string&, int, double) {};
  /// Changes an answer of either version.
  std::function<void(Answer&, double aSecond, double aDraw)> m_both = [](Answer&, double, double) {
  };
};

/// What the judge said of one run.
struct Outcome {
  Judgement m_judgement;
  /// Time of the verdict Bad in seconds, and answers of the target until then.
  double m_second = 0;
  uint64_t m_answers = 0;
};

/// Runs a roll-out up to its ramp with the exposure that the leader grants: 25 calls, and 4 % of
/// the requests.
Outcome Run(const Scenario& aScenario, unsigned aSeed) {
  std::mt19937_64 random(aSeed);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::array<double, kEndpoints> oldSpeeds{};
  std::array<double, kEndpoints> newSpeeds{};
  for (int i = 0; i < kEndpoints; ++i) {
    oldSpeeds[i] = 0.6 + uniform(random);
    newSpeeds[i] = 0.6 + uniform(random);
  }
  VersionJudge judge{ JudgeSettings{} };
  CountsByRoute totals;
  base::TimePoint now{ std::chrono::hours(1) };
  judge.Record(totals, now);
  double requests = 0;
  double sent = 0;
  Outcome outcome;
  for (int tick = 0; tick < aScenario.m_seconds * kTicksPerSecond; ++tick) {
    const double second = static_cast<double>(tick) / kTicksPerSecond;
    std::poisson_distribution<int> calls(aScenario.m_callsPerSecond / kTicksPerSecond);
    for (int i = calls(random); i > 0; --i) {
      requests += 1;
      const bool target = sent < 25 + 0.04 * requests && uniform(random) < 0.5;
      const bool plain = uniform(random) < 0.7;
      const std::string route = plain ? "plain" : "chat";
      const auto endpoint = static_cast<size_t>(uniform(random) * kEndpoints);
      std::lognormal_distribution<double> spread(0, plain ? 0.2 : 0.7);
      Answer answer{ (plain ? 30 : 300) * spread(random) /
                       (target ? newSpeeds[endpoint] : oldSpeeds[endpoint]),
                     uniform(random) < 0.002 };
      aScenario.m_both(answer, second, uniform(random));
      if (target) {
        sent += 1;
        aScenario.m_target(answer, second, route, static_cast<int>(endpoint), uniform(random));
      }
      AnswerCounts& counts = target ? totals[route].m_target : totals[route].m_old;
      ++counts.m_answers;
      if (answer.m_failed) {
        ++counts.m_failures;
      } else {
        ++counts.m_times[BucketOf(answer.m_ms)];
      }
    }
    now += kTick;
    judge.Record(totals, now);
    outcome.m_judgement = judge.Judge();
    if (outcome.m_judgement.m_verdict == Verdict::Bad) {
      outcome.m_second = second;
      outcome.m_answers = static_cast<uint64_t>(sent);
      break;
    }
  }
  return outcome;
}

/// Returns the number of seeds with the verdict Bad, and prints the line of the table in
/// docs/design/rollouts.md.
int CountBad(const char* aName, const Scenario& aScenario) {
  int bad = 0;
  double seconds = 0;
  double answers = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Run(aScenario, seed);
    if (outcome.m_judgement.m_verdict == Verdict::Bad) {
      ++bad;
      seconds += outcome.m_second;
      answers += static_cast<double>(outcome.m_answers);
    }
  }
  BOOST_TEST_MESSAGE("| " << aName << " | " << aScenario.m_callsPerSecond << " | " << bad << " of "
                          << kSeeds << " | " << (bad > 0 ? seconds / bad : 0) << " | "
                          << (bad > 0 ? answers / bad : 0) << " |");
  return bad;
}

} // namespace

BOOST_AUTO_TEST_SUITE(VersionJudgeTest)

// A good version whose endpoints differ in speed like those of the old one is not reverted.
BOOST_AUTO_TEST_CASE(GoodVersionsAreNotBad) {
  Scenario scenario;
  BOOST_TEST(CountBad("good", scenario) == 0);
  scenario.m_callsPerSecond = 100;
  BOOST_TEST(CountBad("good, few calls", scenario) == 0);
  scenario.m_callsPerSecond = 1000;
  BOOST_TEST(CountBad("good, many calls", scenario) == 0);
}

// A burst that slows both versions down and fails some calls of both is not the new version's.
BOOST_AUTO_TEST_CASE(DisturbancesOfBothAreNotBad) {
  Scenario scenario;
  scenario.m_both = [](Answer& aAnswer, double aSecond, double aDraw) {
    if (aSecond < 2 || (aSecond > 5 && aSecond < 7)) {
      aAnswer.m_ms *= 5;
      aAnswer.m_failed = aAnswer.m_failed || aDraw < 0.2;
    }
  };
  BOOST_TEST(CountBad("good, both slowed and failing for 2 s", scenario) == 0);
}

// One slow host of the new version is no reason to revert it, nor is one crash.
BOOST_AUTO_TEST_CASE(SingleHostsAreNotBad) {
  Scenario scenario;
  scenario.m_target =
    [](Answer& aAnswer, double aSecond, const std::string&, int aEndpoint, double) {
      if (aEndpoint == 0) {
        aAnswer.m_failed = aAnswer.m_failed || (aSecond >= 4 && aSecond < 4.25);
      }
      if (aEndpoint == 1) {
        aAnswer.m_ms *= 1.6;
      }
    };
  BOOST_TEST(CountBad("good, one crash and one slow host", scenario) == 0);
}

// Each kind of bad version is found before the ramp.
BOOST_AUTO_TEST_CASE(BadVersionsAreFound) {
  const auto check = [](const char* aName, auto aChange, int aMin) {
    Scenario scenario;
    scenario.m_target = aChange;
    BOOST_TEST(CountBad(aName, scenario) >= aMin, aName);
  };
  check(
    "all answers fail",
    [](Answer& aAnswer, double, const std::string&, int, double) { aAnswer.m_failed = true; },
    kSeeds);
  check(
    "30 % fail",
    [](Answer& aAnswer, double, const std::string&, int, double aDraw) {
      aAnswer.m_failed = aDraw < 0.3;
    },
    kSeeds);
  check(
    "all 4 times slower",
    [](Answer& aAnswer, double, const std::string&, int, double) { aAnswer.m_ms *= 4; },
    kSeeds);
  check(
    "30 % 5 times slower",
    [](Answer& aAnswer, double, const std::string&, int, double aDraw) {
      aAnswer.m_ms *= aDraw < 0.3 ? 5 : 1;
    },
    kSeeds * 9 / 10);
  check(
    "30 % fail from second 5 on",
    [](Answer& aAnswer, double aSecond, const std::string&, int, double aDraw) {
      aAnswer.m_failed = aSecond >= 5 && aDraw < 0.3;
    },
    kSeeds * 9 / 10);
  check(
    "half of one route fail",
    [](Answer& aAnswer, double, const std::string& aRoute, int, double aDraw) {
      aAnswer.m_failed = aRoute == "chat" && aDraw < 0.5;
    },
    kSeeds * 9 / 10);
}

// No verdict before there are answers to judge by.
BOOST_AUTO_TEST_CASE(FewAnswersDecideNothing) {
  VersionJudge judge{ JudgeSettings{} };
  BOOST_TEST((judge.Judge().m_verdict == Verdict::Undecided));
  CountsByRoute totals;
  totals["r"].m_target.m_answers = 3;
  totals["r"].m_target.m_failures = 3;
  judge.Record(totals, base::TimePoint{ std::chrono::hours(1) });
  BOOST_TEST((judge.Judge().m_verdict == Verdict::Undecided));
}

BOOST_AUTO_TEST_SUITE_END()
