#include "engines/EngineModel.h"
#include "engines/tests/SyntheticEngine.h"

#include <boost/test/unit_test.hpp>

#include <cmath>
#include <random>

using namespace papayafield;
using namespace papayafield::engines;

namespace {

const base::TimePoint kStart{ std::chrono::hours(1) };
const fleet::ServiceId kService("engines");
constexpr double kTickMs = 0.5;

base::TimePoint At(double aMs) {
  return kStart + std::chrono::microseconds(static_cast<int64_t>(aMs * 1000));
}

fleet::Endpoint MakeEndpoint(size_t aIndex, int aSlots = 0) {
  fleet::Endpoint endpoint;
  endpoint.m_incarnation.m_endpoint = base::EndpointId("e" + std::to_string(aIndex));
  endpoint.m_service = kService;
  endpoint.m_slots = aSlots;
  return endpoint;
}

base::EndpointId Id(size_t aIndex) {
  return MakeEndpoint(aIndex).m_incarnation.m_endpoint;
}

double Speed(const EngineModel& aModel, size_t aIndex) {
  return 1 / aModel.ReadMs(MakeEndpoint(aIndex), 1);
}

/// Checks that `aValue` is within `aFraction` of `aTruth`.
void CheckNear(double aValue, double aTruth, double aFraction) {
  BOOST_TEST(std::abs(aValue - aTruth) <= aFraction * aTruth,
             aValue << " is not within " << aFraction << " of " << aTruth);
}

/// Engines under load, and the model of a node that sends a part of their calls.
class Fleet {
public:
  explicit Fleet(unsigned aSeed)
    : m_random(aSeed) {}

  void Add(const SyntheticEngine::Settings& aSettings) {
    m_engines.emplace_back(aSettings);
    m_known.push_back(MakeEndpoint(m_known.size(), static_cast<int>(aSettings.m_slots)));
    std::map<base::EndpointId, fleet::Endpoint> known;
    for (const fleet::Endpoint& endpoint : m_known) {
      known[endpoint.m_incarnation.m_endpoint] = endpoint;
    }
    m_model.RetainEndpoints(known);
  }

  /// Sends `aCallsPerSecond` calls to each engine for `aMs`. The node sends `aLocalPart` of them.
  void Run(double aMs, double aCallsPerSecond, double aLocalPart = 1) {
    const double end = m_nowMs + aMs;
    for (; m_nowMs < end; m_nowMs += kTickMs) {
      for (size_t i = 0; i < m_engines.size(); ++i) {
        for (const SyntheticEvent& event : m_engines[i].AdvanceTo(m_nowMs)) {
          if (event.m_call.m_isLocal) {
            Record(i, event);
          }
        }
        if (Draw() < aCallsPerSecond * kTickMs / 1000) {
          SyntheticCall call;
          call.m_sentMs = m_nowMs;
          call.m_ownTokens = 700 + m_longTokens * Draw() * Draw();
          call.m_readTokens = call.m_ownTokens + (Draw() < 0.25 ? 2000 : 0);
          call.m_outputTokens = 10 + static_cast<int>(Draw() * 80);
          call.m_openCalls = static_cast<double>(m_engines[i].OpenCalls() + 1);
          call.m_isLocal = Draw() < aLocalPart;
          m_waiting[i] += call.m_isLocal ? 1 : 0;
          m_engines[i].Submit(call);
        }
      }
    }
  }

  double Draw() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

  /// What the longest prompts have above the shortest.
  double m_longTokens = 5000;
  EngineModel m_model{ EngineModelSettings{} };
  std::vector<SyntheticEngine> m_engines;
  std::vector<fleet::Endpoint> m_known;

private:
  void Record(size_t aIndex, const SyntheticEvent& aEvent) {
    const SyntheticCall& call = aEvent.m_call;
    // The network delays each event a little.
    const double at = aEvent.m_atMs + 0.3 * Draw();
    if (aEvent.m_gapMs < 0) {
      m_model.RecordFirstEvent(
        m_known[aIndex],
        { At(call.m_sentMs), At(at), call.m_ownTokens, call.m_openCalls, --m_waiting[aIndex] > 0 });
    } else {
      m_model.RecordGap(m_known[aIndex],
                        aEvent.m_gapMs + 0.3 * (Draw() - Draw()),
                        1,
                        static_cast<double>(m_engines[aIndex].OpenCalls()),
                        At(at));
    }
  }

  std::mt19937 m_random;
  double m_nowMs = 0;
  /// Calls of the node that wait for their first event.
  std::map<size_t, int> m_waiting;
};

struct Kind {
  SyntheticEngine::Settings m_settings;
  double m_callsPerSecond;
};

const Kind kKinds[] = {
  { { 92.1, 3.03, 0.102, 48 }, 12 },
  { { 56.9, 3.09, 0.102, 64 }, 8 },
  { { 40.8, 5.05, 0.102, 16 }, 5 },
};

} // namespace

BOOST_AUTO_TEST_SUITE(EngineModelTest)

// Guards against delays that are wrong by multiples on engines other than those of the priors.
BOOST_AUTO_TEST_CASE(ThreeKindsOfEnginesAreLearnedInFiveSeconds) {
  for (const Kind& kind : kKinds) {
    for (const double load : { 0.5, 1.0, 1.5 }) {
      for (unsigned seed = 1; seed <= 5; ++seed) {
        Fleet fleet(seed);
        for (int i = 0; i < 4; ++i) {
          fleet.Add(kind.m_settings);
        }
        fleet.Run(5000, kind.m_callsPerSecond * load);
        BOOST_TEST_CONTEXT("tokens/ms " << kind.m_settings.m_tokensPerMs << ", load " << load
                                        << ", seed " << seed) {
          CheckNear(fleet.m_model.PrefillTokensPerMs(kService), kind.m_settings.m_tokensPerMs, 0.2);
          CheckNear(fleet.m_model.StepMs(kService, 10), kind.m_settings.m_stepMs + 1.02, 0.2);
          const double batch = std::min(static_cast<double>(kind.m_settings.m_slots), 20.0);
          CheckNear(fleet.m_model.OutputMsPerToken(kService),
                    (kind.m_settings.m_stepMs + 0.102 * batch) / batch,
                    0.2);
        }
      }
    }
  }
}

// Guards against a node that takes waiting for the calls of its peers for slow reading.
BOOST_AUTO_TEST_CASE(CallsOfPeersDoNotMakeEnginesLookSlow) {
  for (const Kind& kind : kKinds) {
    Fleet fleet(1);
    for (int i = 0; i < 4; ++i) {
      fleet.Add(kind.m_settings);
    }
    fleet.Run(10000, kind.m_callsPerSecond, 0.33);
    CheckNear(fleet.m_model.PrefillTokensPerMs(kService), kind.m_settings.m_tokensPerMs, 0.2);
  }
}

// Guards against changes on deployments whose engines are those of the priors.
BOOST_AUTO_TEST_CASE(EnginesOfThePriorsKeepThem) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    Fleet fleet(seed);
    for (int i = 0; i < 6; ++i) {
      fleet.Add(kKinds[1].m_settings);
    }
    for (int second = 0; second < 6; ++second) {
      fleet.Run(1000, kKinds[1].m_callsPerSecond);
      CheckNear(fleet.m_model.PrefillTokensPerMs(kService), 56.9, 0.1);
      CheckNear(fleet.m_model.OutputMsPerToken(kService), 0.26, 0.1);
      CheckNear(fleet.m_model.CallDelayMs(MakeEndpoint(0), true), 2.0, 0.1);
    }
  }
}

// Guards against sending calls to an engine whose host slows it down.
BOOST_AUTO_TEST_CASE(SlowdownIsFoundWithinTwoSeconds) {
  for (const Kind& kind : kKinds) {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      Fleet fleet(seed);
      for (int i = 0; i < 4; ++i) {
        fleet.Add(kind.m_settings);
      }
      // The engine still answers several calls in two seconds when it is slow.
      fleet.m_longTokens = 1500;
      fleet.Run(5000, kind.m_callsPerSecond);
      const double before = Speed(fleet.m_model, 2);
      fleet.m_engines[2].SlowDown(5);
      fleet.Run(2000, kind.m_callsPerSecond);
      BOOST_TEST(Speed(fleet.m_model, 2) < before / 3);
      BOOST_TEST(Speed(fleet.m_model, 1) > before / 2);
      BOOST_TEST(fleet.m_model.FirstByteMs(MakeEndpoint(2), true, 4, 1000, 2000) >
                 fleet.m_model.FirstByteMs(MakeEndpoint(1), true, 4, 1000, 2000) * 2.5);
    }
  }
}

// An endpoint that is no longer used because it was slow must be tried again.
BOOST_AUTO_TEST_CASE(OldSamplesAreForgotten) {
  Fleet fleet(1);
  for (int i = 0; i < 3; ++i) {
    fleet.Add(kKinds[1].m_settings);
  }
  fleet.m_engines[0].SlowDown(5);
  fleet.Run(5000, 6);
  BOOST_TEST(Speed(fleet.m_model, 0) < 30);
  fleet.m_model.Update(At(25000));
  CheckNear(Speed(fleet.m_model, 0), fleet.m_model.PrefillTokensPerMs(kService), 0.001);
}

// Endpoints of one service on hosts of different speed.
BOOST_AUTO_TEST_CASE(UnevenEndpointsAreDistinguished) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    Fleet fleet(seed);
    const std::vector<double> speeds = { 0.6, 0.8, 1.0, 1.2, 1.6 };
    for (const double speed : speeds) {
      SyntheticEngine::Settings settings = kKinds[0].m_settings;
      settings.m_tokensPerMs *= speed;
      settings.m_stepMs /= speed;
      fleet.Add(settings);
    }
    fleet.Run(5000, 10);
    for (size_t i = 0; i < speeds.size(); ++i) {
      BOOST_TEST_CONTEXT("speed " << speeds[i] << ", seed " << seed) {
        CheckNear(Speed(fleet.m_model, i), 92.1 * speeds[i], 0.25);
      }
    }
    CheckNear(fleet.m_model.PrefillTokensPerMs(kService), 92.1, 0.25);
  }
}

// An endpoint that answers at once without reading prompts must not attract calls.
BOOST_AUTO_TEST_CASE(ImpossiblyFastAnswersAreNotBelieved) {
  Fleet fleet(1);
  for (int i = 0; i < 5; ++i) {
    fleet.Add(kKinds[1].m_settings);
  }
  fleet.Run(3000, 8);
  // The service of the fifth endpoint is answered from memory.
  for (int i = 0; i < 100; ++i) {
    const double now = 3000 + 30 * i;
    fleet.m_model.RecordFirstEvent(fleet.m_known[4], { At(now), At(now + 1), 3000, 1, false });
    fleet.m_model.RecordGap(fleet.m_known[4], 0.01, 1, 1, At(now + 1));
    fleet.m_model.RecordPlainCall(fleet.m_known[4], 0.2, 1, At(now + 1));
  }
  fleet.m_model.Update(At(6000));
  BOOST_TEST(fleet.m_model.ImplausibleCount() >= 250U);
  BOOST_TEST(Speed(fleet.m_model, 4) <= fleet.m_model.PrefillTokensPerMs(kService) * 1.1);
  CheckNear(fleet.m_model.PrefillTokensPerMs(kService), 56.9, 0.1);
  // One that stays just within what is plausible gains no more than the fastest real ones.
  for (int i = 0; i < 100; ++i) {
    const double now = 6000 + 30 * i;
    fleet.m_model.RecordFirstEvent(fleet.m_known[4], { At(now), At(now + 21), 3000, 1, false });
  }
  fleet.m_model.Update(At(9000));
  BOOST_TEST(Speed(fleet.m_model, 4) <= fleet.m_model.PrefillTokensPerMs(kService) * 2.01);
  CheckNear(fleet.m_model.PrefillTokensPerMs(kService), 56.9, 0.1);
}

// Without enough observations, calls are placed as before there was a model.
BOOST_AUTO_TEST_CASE(FewObservationsChangeNothing) {
  EngineModel model{ EngineModelSettings{} };
  const fleet::Endpoint endpoint = MakeEndpoint(0, 16);
  for (int i = 0; i < 3; ++i) {
    const double now = 100 * i;
    model.RecordFirstEvent(endpoint, { At(now), At(now + 90), 1000, 1, false });
    model.RecordGap(endpoint, 20, 1, 1, At(now + 95));
    model.RecordPlainCall(endpoint, 5, 1, At(now + 95));
  }
  model.Update(At(1000));
  BOOST_TEST(model.ReadMs(MakeEndpoint(0), 56.9) == 1.0);
  BOOST_TEST(model.CallDelayMs(MakeEndpoint(0), true) == 2.0);
  BOOST_TEST(model.CallDelayMs(MakeEndpoint(0), false) == 10.0);
  BOOST_TEST(model.OutputMsPerToken(kService) == 0.26);
  BOOST_TEST(model.WorkMs(kService, 569, 100) == 36.0);
  BOOST_TEST(model.QueueDelayMs(MakeEndpoint(7), true, 3, 569) == 16.0);
}

// Plain services of 15, 30 and 60 ms that run six calls concurrently, under and over their
// capacity.
BOOST_AUTO_TEST_CASE(PlainServicesAreLearned) {
  std::mt19937 random(1);
  std::uniform_real_distribution<double> draw(0, 1);
  for (const double callMs : { 15.0, 30.0, 60.0 }) {
    EngineModel model{ EngineModelSettings{} };
    const fleet::Endpoint endpoint = MakeEndpoint(0);
    std::vector<double> freeAt(6, 0);
    std::multimap<double, std::pair<double, double>> open;
    double now = 0;
    while (now < 5000) {
      // One second of every two has more calls than the endpoint can run.
      const double rate = (std::fmod(now, 2000) < 1000 ? 0.5 : 1.3) * 6 / callMs;
      now += -std::log(1 - draw(random)) / rate;
      while (!open.empty() && open.begin()->first <= now) {
        const auto [end, call] = *open.begin();
        model.RecordPlainCall(endpoint, end - call.first, call.second, At(end));
        open.erase(open.begin());
      }
      const auto slot = std::min_element(freeAt.begin(), freeAt.end());
      *slot = std::max(*slot, now) + callMs * (0.95 + 0.1 * draw(random));
      open.emplace(*slot, std::pair(now, static_cast<double>(open.size() + 1)));
    }
    CheckNear(model.PlainCallMs(kService), callMs, 0.2);
    CheckNear(model.PlainConcurrency(kService), 6, 0.25);
    CheckNear(model.CallDelayMs(MakeEndpoint(0), false), callMs / 6, 0.3);
  }
}

// Guards against sending calls to a plain endpoint whose host slows it down, and against taking
// calls that are long by themselves for a slow endpoint.
BOOST_AUTO_TEST_CASE(SlowPlainEndpointIsFoundWithinTwoSeconds) {
  std::mt19937 random(1);
  std::uniform_real_distribution<double> draw(0, 1);
  EngineModel model{ EngineModelSettings{} };
  for (double now = 0; now < 7000; now += 150) {
    for (size_t i = 0; i < 4; ++i) {
      const double slowness = i == 2 && now > 5000 ? 5 : 1;
      const double durationMs = slowness * (20 + 80 * draw(random));
      model.RecordPlainCall(MakeEndpoint(i), durationMs, 1 + 4 * draw(random), At(now));
    }
    CheckNear(model.CallDelayMs(MakeEndpoint(1), false), 10, 0.35);
  }
  CheckNear(model.PlainCallMs(kService), 60, 0.2);
  BOOST_TEST(model.CallDelayMs(MakeEndpoint(2), false) >
             3 * model.CallDelayMs(MakeEndpoint(1), false));
}

// Endpoints that answered within a millisecond were left out for seconds, because a busy machine
// delayed a few of their calls, and only those were plausible.
BOOST_AUTO_TEST_CASE(DelaysOfTheMachineDoNotMakeShortCallsSlow) {
  EngineModel model{ EngineModelSettings{} };
  std::map<base::EndpointId, fleet::Endpoint> known;
  for (size_t i = 0; i < 3; ++i) {
    known[Id(i)] = MakeEndpoint(i);
  }
  model.RetainEndpoints(known);
  for (int i = 0; i < 200; ++i) {
    const double now = 10 * i;
    model.RecordPlainCall(MakeEndpoint(0), i % 10 == 0 ? 9 : 1, 2, At(now));
    model.RecordPlainCall(MakeEndpoint(1), i % 10 == 0 ? 60 : 2, 2, At(now));
  }
  model.Update(At(2000));
  BOOST_TEST(model.CallDelayMs(MakeEndpoint(0), false) ==
             model.CallDelayMs(MakeEndpoint(1), false));
  BOOST_TEST(model.CallDelayMs(MakeEndpoint(0), false) ==
             model.CallDelayMs(MakeEndpoint(2), false));
}

// A new endpoint got no calls until the model knew of it, because it was expected to have the speed
// of the prior while its service was learned to be ten times as fast.
BOOST_AUTO_TEST_CASE(NewEndpointsAreExpectedToBeAsFastAsTheirService) {
  EngineModel model{ EngineModelSettings{} };
  fleet::Endpoint known = MakeEndpoint(0);
  model.RetainEndpoints({ { Id(0), known } });
  for (int i = 0; i < 20; ++i) {
    model.RecordPlainCall(known, 6, 2, At(10 * i));
  }
  model.Update(At(200));
  BOOST_TEST(model.CallDelayMs(known, false) < 2);
  BOOST_TEST(model.CallDelayMs(MakeEndpoint(1), false) == model.CallDelayMs(known, false));
  known.m_incarnation.m_startMs = 7;
  BOOST_TEST(model.CallDelayMs(known, false) == model.CallDelayMs(MakeEndpoint(0), false));
}

// State must not grow with endpoints that come and go.
BOOST_AUTO_TEST_CASE(StateOfRemovedEndpointsIsDropped) {
  EngineModel model{ EngineModelSettings{} };
  std::map<base::EndpointId, fleet::Endpoint> known;
  for (size_t i = 0; i < 100; ++i) {
    for (int call = 0; call < 200; ++call) {
      model.RecordGap(MakeEndpoint(i), 8, 1, 1, At(call));
    }
  }
  model.Update(At(200));
  BOOST_TEST(model.EndpointCount() == 100U);
  BOOST_TEST(model.IsLearned(kService, Quantity::Step));
  fleet::Endpoint restarted = MakeEndpoint(3);
  restarted.m_incarnation.m_startMs = 5;
  known[Id(3)] = restarted;
  model.RetainEndpoints(known);
  BOOST_TEST(model.EndpointCount() == 1U);
  model.RetainEndpoints({});
  BOOST_TEST(model.EndpointCount() == 0U);
  BOOST_TEST(!model.IsLearned(kService, Quantity::Step));
}

BOOST_AUTO_TEST_SUITE_END()
