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

BOOST_AUTO_TEST_CASE(Status503OnlyIfTheCallHasNotRun) {
  BOOST_TEST(FinalStatus(false, false) == 503);
  BOOST_TEST(FinalStatus(false, true) == 503);
  BOOST_TEST(FinalStatus(true, false) == 502);
  BOOST_TEST(FinalStatus(true, true) == 504);
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
    splitter.DiscardPartialEvent();
    BOOST_TEST(!splitter.HasPartialEvent());
    BOOST_TEST(splitter.LastEventId() == "7");
  }
}

BOOST_AUTO_TEST_SUITE_END()
