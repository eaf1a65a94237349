#include "admission/AdmissionQueue.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::admission;

namespace {

const base::TimePoint kStart = base::TimePoint{} + base::Millis(1000000);

WaitingRequest MakeRequest(const std::string& aTeam,
                           int aNumber,
                           size_t aPriorityClass,
                           double aWeight,
                           double aCost) {
  WaitingRequest request;
  request.m_request = base::RequestId(aTeam + std::to_string(aNumber));
  request.m_team = base::TeamId(aTeam);
  request.m_weight = aWeight;
  request.m_class = aPriorityClass;
  request.m_cost = aCost;
  request.m_since = kStart;
  request.m_deadline = kStart + base::Millis(60000);
  request.m_teamLimit = 1000;
  return request;
}

} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionQueueTest)

BOOST_AUTO_TEST_CASE(LowestClassIsServedFirstAndAgeingPromotes) {
  AdmissionQueue queue{ AdmissionSettings{} };
  BOOST_REQUIRE(queue.Enqueue(MakeRequest("slow", 1, 2, 1, 10), kStart));
  BOOST_REQUIRE(queue.Enqueue(MakeRequest("quick", 1, 0, 1, 10), kStart));
  BOOST_TEST(queue.Dequeue(kStart)->m_team.Text() == "quick");
  // After two ageing intervals a class 2 request is in the same class as class 0 requests.
  const base::TimePoint later = kStart + base::Millis(20000);
  WaitingRequest fresh = MakeRequest("quick", 2, 0, 1, 10);
  fresh.m_since = later;
  BOOST_REQUIRE(queue.Enqueue(fresh, later));
  queue.Dequeue(later);
  BOOST_TEST(queue.Dequeue(later).has_value());
  BOOST_TEST(queue.Size() == 0U);
}

// Shares of tokens follow the weights, whatever the number and cost of each team's requests.
BOOST_AUTO_TEST_CASE(SharesFollowWeights) {
  AdmissionQueue queue{ AdmissionSettings{} };
  for (int i = 0; i < 900; ++i) {
    BOOST_REQUIRE(queue.Enqueue(MakeRequest("large", i, 1, 1, 300), kStart));
  }
  for (int i = 0; i < 900; ++i) {
    BOOST_REQUIRE(queue.Enqueue(MakeRequest("small", i, 1, 3, 100), kStart));
  }
  double large = 0;
  double small = 0;
  for (int i = 0; i < 400; ++i) {
    const auto next = queue.Dequeue(kStart);
    (next->m_team.Text() == "large" ? large : small) += next->m_cost;
  }
  BOOST_TEST(small / large > 2.7);
  BOOST_TEST(small / large < 3.3);
}

BOOST_AUTO_TEST_CASE(QueueLimitsAreEnforced) {
  AdmissionSettings settings;
  settings.m_maxQueued = 3;
  AdmissionQueue queue(settings);
  WaitingRequest limited = MakeRequest("a", 1, 1, 1, 1);
  limited.m_teamLimit = 1;
  BOOST_REQUIRE(queue.Enqueue(limited, kStart));
  limited.m_request = base::RequestId("a2");
  BOOST_TEST((queue.Enqueue(limited, kStart).error().m_reason == RejectionReason::TeamQueueFull));
  BOOST_REQUIRE(queue.Enqueue(MakeRequest("b", 1, 1, 1, 1), kStart));
  BOOST_REQUIRE(queue.Enqueue(MakeRequest("b", 2, 1, 1, 1), kStart));
  BOOST_TEST((queue.Enqueue(MakeRequest("b", 3, 1, 1, 1), kStart).error().m_reason ==
              RejectionReason::QueueFull));
}

// A requeued request is served first, never expires and is never rejected.
BOOST_AUTO_TEST_CASE(RequeuedRequestsAreNeverLost) {
  AdmissionSettings settings;
  settings.m_maxQueued = 1;
  AdmissionQueue queue(settings);
  BOOST_REQUIRE(queue.Enqueue(MakeRequest("new", 1, 1, 1, 1), kStart));
  queue.Requeue(MakeRequest("moved", 1, 1, 1, 1));
  const base::TimePoint late = kStart + base::Millis(120000);
  BOOST_TEST(queue.RemoveExpired(late).size() == 1U);
  BOOST_TEST(queue.Dequeue(late)->m_team.Text() == "moved");
}

BOOST_AUTO_TEST_CASE(RequestsThatWouldExpireAreRejectedAtOnce) {
  AdmissionQueue queue{ AdmissionSettings{} };
  for (int i = 0; i < 100; ++i) {
    BOOST_REQUIRE(queue.Enqueue(MakeRequest("a", i, 1, 1, 100), kStart));
  }
  // 10000 queued tokens at 100 tokens per second are a wait of 100 s.
  for (int second = 0; second <= 10; ++second) {
    queue.RecordServed(100, kStart + base::Millis(1000 * second));
  }
  WaitingRequest tooLate = MakeRequest("a", 100, 1, 1, 100);
  const auto rejected = queue.Enqueue(tooLate, kStart);
  BOOST_REQUIRE(!rejected.has_value());
  BOOST_TEST((rejected.error().m_reason == RejectionReason::WaitTooLong));
  // A team with few queued requests keeps its share.
  BOOST_TEST(queue.Enqueue(MakeRequest("b", 1, 1, 1, 100), kStart).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
