#include "base/Time.h"
#include "forwarding/AnswerOrigin.h"
#include "forwarding/EventSplitter.h"
#include "forwarding/RetryDecision.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using fleet::CallKind;

namespace {

struct Row {
  CallKind m_kind;
  bool m_repeatable;
  AttemptFault m_fault;
  int m_possibleRuns;
  int m_maxRuns;
  bool m_mayRetry;
};

// Which failed attempts may be retried at another endpoint. m_possibleRuns includes the failed
// attempt if it may have run.
const Row kRows[] = {
  { CallKind::Unsafe, false, AttemptFault::NotSent, 0, 1, true },
  { CallKind::Unsafe, false, AttemptFault::NotExecuted, 0, 1, true },
  { CallKind::Unsafe, false, AttemptFault::Lost, 1, 3, false },
  { CallKind::Unsafe, false, AttemptFault::Unattributed, 1, 3, false },
  { CallKind::Unsafe, false, AttemptFault::Stalled, 1, 3, false },
  { CallKind::Unsafe, false, AttemptFault::Failed, 1, 3, false },
  { CallKind::Unsafe, false, AttemptFault::NotExecuted, 1, 3, false },
  { CallKind::Idempotent, true, AttemptFault::Lost, 1, 2, true },
  { CallKind::Idempotent, true, AttemptFault::Lost, 2, 2, false },
  { CallKind::Idempotent, true, AttemptFault::Unattributed, 1, 2, true },
  { CallKind::Idempotent, true, AttemptFault::Failed, 1, 2, true },
  { CallKind::Idempotent, true, AttemptFault::Failed, 1, 1, false },
  { CallKind::Idempotent, true, AttemptFault::NotSent, 1, 2, true },
  { CallKind::Idempotent, true, AttemptFault::NotSent, 2, 2, false },
  { CallKind::Stream, false, AttemptFault::Lost, 1, 2, false },
  { CallKind::Stream, false, AttemptFault::NotExecuted, 0, 1, true },
  { CallKind::Stream, true, AttemptFault::Lost, 1, 2, true },
  { CallKind::Stream, true, AttemptFault::Stalled, 1, 2, true },
  { CallKind::Stream, true, AttemptFault::Failed, 1, 2, false },
};

} // namespace

BOOST_AUTO_TEST_SUITE(ForwardingTest)

BOOST_AUTO_TEST_CASE(RetriesOnlyCallsThatHaveNotRunOrMayRunAgain) {
  for (const Row& row : kRows) {
    const AttemptState state{ row.m_kind,         row.m_repeatable, row.m_fault,
                              row.m_possibleRuns, row.m_maxRuns,    false };
    BOOST_TEST_CONTEXT(base::NameOf(row.m_kind)
                       << ' ' << base::NameOf(row.m_fault) << ' ' << row.m_possibleRuns) {
      BOOST_TEST(MayRetry(state) == row.m_mayRetry);
    }
  }
}

BOOST_AUTO_TEST_CASE(AnswerWithoutIdBelongsToTheOnlyCallOfAConnection) {
  BOOST_TEST((OriginOf("a", "a", false) == AnswerOrigin::ThisCall));
  BOOST_TEST((OriginOf("a", "a", true) == AnswerOrigin::ThisCall));
  BOOST_TEST((OriginOf("b", "a", false) == AnswerOrigin::OtherCall));
  BOOST_TEST((OriginOf("b", "a", true) == AnswerOrigin::OtherCall));
  BOOST_TEST((OriginOf("", "a", false) == AnswerOrigin::ThisCall));
  BOOST_TEST((OriginOf("", "a", true) == AnswerOrigin::Unknown));
}

BOOST_AUTO_TEST_CASE(OwnStatusOfACallThatMayHaveRunGuaranteesNothing) {
  for (const bool timedOut : { false, true }) {
    BOOST_TEST(!GuaranteesNotRun(FinalStatus(true, timedOut)));
    BOOST_TEST(GuaranteesNotRun(FinalStatus(false, timedOut)));
  }
}

BOOST_AUTO_TEST_CASE(Status503OnlyIfTheCallHasNotRun) {
  BOOST_TEST(FinalStatus(false, false) == 503);
  BOOST_TEST(FinalStatus(false, true) == 503);
  BOOST_TEST(FinalStatus(true, false) == 502);
  BOOST_TEST(FinalStatus(true, true) == 504);
}

struct ContinuityRow {
  const char* m_last;
  const char* m_first;
  std::optional<uint64_t> m_step;
  bool m_continues;
};

BOOST_AUTO_TEST_CASE(RunContinuesAStreamOnlyAfterItsLastEvent) {
  const ContinuityRow rows[] = {
    { "5", "6", 1, true },
    { "5", "7", 1, false },
    { "5", "7", std::nullopt, true },
    { "5", "5", std::nullopt, false },
    { "5", "1", std::nullopt, false },
    { "5", "", 1, false },
    { "20", "24", 4, true },
    { "20", "22", 4, true },
    { "20", "28", 4, false },
    { "a", "b", std::nullopt, true },
    { "a", "a", std::nullopt, false },
    { "9", "10", 1, true },
    { "18446744073709551615", "1", 1, false },
    { "5", "99999999999999999999", 1, true },
  };
  for (const ContinuityRow& row : rows) {
    BOOST_TEST(ContinuesStream(row.m_last, row.m_first, row.m_step) == row.m_continues,
               row.m_last << " then " << row.m_first);
  }
}

BOOST_AUTO_TEST_CASE(SplitterHoldsBackARunThatDoesNotContinue) {
  const auto event = [](int aId) { return "id: " + std::to_string(aId) + "\ndata: x\n\n"; };
  for (const char* first : { "id: 1\ndata: x\n\n",
                             "id: 3\ndata: x\n\n",
                             "id: 5\ndata: x\n\n",
                             "data: x\n\n",
                             ": note\n\ndata: x\n\n" }) {
    EventSplitter splitter;
    BOOST_TEST(splitter.Feed(event(1) + event(2) + event(3)).size() == 3 * event(1).size());
    splitter.StartRun();
    const std::string returned = splitter.Feed(first + event(4));
    BOOST_TEST(returned.find("data") == std::string::npos);
    BOOST_TEST(!splitter.IsContinuous());
    BOOST_TEST(splitter.LastEventId() == "3");
    splitter.StartRun();
    BOOST_TEST(splitter.Feed(": note\n\n" + event(4)) == ": note\n\n" + event(4));
    BOOST_TEST(splitter.IsContinuous());
  }
}

BOOST_AUTO_TEST_CASE(StepThatVariesShowsNoGap) {
  EventSplitter splitter;
  splitter.Feed("id: 4\ndata: x\n\nid: 8\ndata: x\n\nid: 10\ndata: x\n\n");
  splitter.StartRun();
  BOOST_TEST(!splitter.Feed("id: 16\ndata: x\n\n").empty());
  BOOST_TEST(splitter.IsContinuous());
}

BOOST_AUTO_TEST_CASE(BegunStreamWithoutEventIdsIsNotRepeated) {
  for (const AttemptFault fault : { AttemptFault::NotSent, AttemptFault::Lost }) {
    BOOST_TEST(MayRetry({ CallKind::Stream, true, fault, 1, 2, false }));
    BOOST_TEST(!MayRetry({ CallKind::Stream, true, fault, 1, 2, true }));
  }
}

// Regardless of where the bytes are split, complete events pass unchanged and an incomplete one is
// held back.
BOOST_AUTO_TEST_CASE(SplitterReturnsCompleteEventsOnly) {
  const std::string complete =
    "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\nid: 7\ndata: c\n\n";
  const std::string text = complete + "id: 8\ndata: unfin";
  for (size_t cut = 0; cut <= text.size(); ++cut) {
    EventSplitter splitter;
    std::string returned = splitter.Feed(text.substr(0, cut));
    returned += splitter.Feed(text.substr(cut));
    BOOST_TEST(returned == complete);
    BOOST_TEST(splitter.LastEventId() == "7");
    BOOST_TEST(splitter.HasPartialEvent());
    splitter.StartRun();
    BOOST_TEST(!splitter.HasPartialEvent());
    BOOST_TEST(splitter.LastEventId() == "7");
  }
}

// Each part was searched together with all bytes since the last event, so that a stream without end
// stopped the event loop for seconds.
BOOST_AUTO_TEST_CASE(SplitterTakesTimeInProportionToItsBytes) {
  constexpr size_t kBytes = 512U << 10U;
  constexpr base::Millis kMaxTime{ 1000 };
  for (const size_t partSize : { 1U, 3U, 7U, 64U, 65536U }) {
    std::string part;
    while (part.size() < partSize) {
      part += part.size() % 2 == 0 ? '.' : '\n';
    }
    EventSplitter splitter;
    const auto start = base::BootNow();
    for (size_t fed = 0; fed < kBytes && base::BootNow() - start < kMaxTime; fed += partSize) {
      splitter.Feed(part);
    }
    BOOST_TEST((base::BootNow() - start < kMaxTime), partSize << " bytes a part");
  }
}

BOOST_AUTO_TEST_SUITE_END()
