#include "forwarding/StreamOrigins.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace papayafield;
using namespace papayafield::forwarding;
using base::Millis;

namespace {

/// Two nodes. Origins arrive at once and replies a moment later, if they are not lost.
struct OriginsFixture {
  OriginsFixture() {
    m_first.SetSenders([this](const auto& aOrigins) { Send(m_second, aOrigins); },
                       [](const auto&) { return size_t{ 0 }; });
    m_second.SetSenders([this](const auto& aOrigins) { Send(m_first, aOrigins); },
                        [this](const auto& aKeys) { return AskFirst(aKeys); });
  }
  void Send(StreamOrigins& aTo, const StreamOrigins::Origins& aOrigins) {
    m_sent += aOrigins.size();
    if (!m_losesNotices) {
      aTo.Merge(aOrigins);
    }
  }
  /// Lets the second node ask the first one.
  size_t AskFirst(const StreamOrigins::Keys& aKeys) {
    ++m_queries;
    if (m_lostQueries > 0) {
      --m_lostQueries;
      return m_peers;
    }
    m_replyTimer = m_loop.After(Millis(1), [this, aKeys] {
      for (const fleet::StreamKey key : aKeys) {
        const auto known = m_first.Known({ key });
        m_second.Merge(known);
        if (known.empty()) {
          m_second.OnUnknown("10.1.0.1", { key });
        }
      }
    });
    return m_peers;
  }
  /// Returns what the second node finds; "none" if nothing.
  std::string FindAtSecond(const std::string& aCallId, Millis aMaxWait) {
    std::optional<std::string> result;
    m_second.Find(aCallId, aMaxWait, [&](const std::optional<std::string>& aVersion) {
      result = aVersion.value_or("none");
      m_loop.Stop();
    });
    if (!result) {
      m_loop.Run();
    }
    return result.value_or("no answer");
  }
  void RunFor(Millis aDuration) {
    const auto timer = m_loop.After(aDuration, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  adapters::http::EventLoop m_loop;
  adapters::http::EventHandlePtr m_replyTimer;
  StreamOrigins m_first{ m_loop };
  StreamOrigins m_second{ m_loop };
  /// Number of nodes that the second node asks; only the first one answers.
  size_t m_peers = 1;
  bool m_losesNotices = false;
  int m_lostQueries = 0;
  int m_queries = 0;
  size_t m_sent = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamOriginsTest, OriginsFixture)

BOOST_AUTO_TEST_CASE(PeerIsAskedForAStreamThatBeganThere) {
  m_losesNotices = true;
  m_first.Record("call-1", "v1");
  BOOST_TEST(FindAtSecond("call-1", Millis(1000)) == "v1");
  BOOST_TEST(FindAtSecond("call-1", Millis(0)) == "v1");
}

// Streams were sent to peers only while several versions served. When the node stopped, they could
// not be resumed once a second version had joined.
BOOST_AUTO_TEST_CASE(PeersLearnOfEachStreamWithoutAsking) {
  m_first.Record("call-1", "v1");
  RunFor(Millis(250));
  BOOST_TEST(FindAtSecond("call-1", Millis(0)) == "v1");
  BOOST_TEST(m_queries == 0);
}

BOOST_AUTO_TEST_CASE(LostQuestionIsAskedAgain) {
  m_losesNotices = true;
  m_lostQueries = 2;
  m_first.Record("call-1", "v1");
  BOOST_TEST(FindAtSecond("call-1", Millis(2000)) == "v1");
}

BOOST_AUTO_TEST_CASE(SearchForAnUnknownStreamEnds) {
  m_peers = 2;
  BOOST_TEST(FindAtSecond("call-1", Millis(50)) == "none");
  BOOST_TEST(FindAtSecond("call-1", Millis(0)) == "none");
}

// Nodes of an earlier release do not say that they do not know a stream. One of them may be about
// to learn of it.
BOOST_AUTO_TEST_CASE(SearchWaitsForAPeerThatDoesNotSayWhatItDoesNotKnow) {
  m_peers = 2;
  BOOST_TEST(FindAtSecond("call-1", Millis(200)) == "none");
  BOOST_TEST(m_queries > 1);
  const auto timer = m_loop.After(Millis(50), [this] { m_first.Record("call-2", "v1"); });
  BOOST_TEST(FindAtSecond("call-2", Millis(1000)) == "v1");
}

BOOST_AUTO_TEST_CASE(SearchEndsWhenNoPeerKnowsTheStream) {
  const auto start = base::BootNow();
  BOOST_TEST(FindAtSecond("call-1", Millis(20000)) == "none");
  m_peers = 0;
  BOOST_TEST(FindAtSecond("call-2", Millis(20000)) == "none");
  BOOST_CHECK(base::BootNow() - start < Millis(10000));
}

// The first version that is recorded holds: a stream that is resumed keeps it.
// The first of two calls with one ID whose version remained unknown ended the wait for the second
// one, whose version was then not recorded.
BOOST_AUTO_TEST_CASE(CallWithTheSameIdKeepsWaitingForItsVersion) {
  m_first.Expect("call-1");
  m_first.Expect("call-1");
  m_first.Dismiss("call-1");
  BOOST_TEST(m_first.IsExpected(fleet::StreamKeyOf("call-1")));
  m_first.Dismiss("call-1");
  BOOST_TEST(!m_first.IsExpected(fleet::StreamKeyOf("call-1")));
  m_first.Dismiss("call-1");
  m_first.Expect("call-1");
  BOOST_TEST(m_first.IsExpected(fleet::StreamKeyOf("call-1")));
  m_first.Record("call-1", "v1");
  BOOST_TEST(!m_first.IsExpected(fleet::StreamKeyOf("call-1")));
}

BOOST_AUTO_TEST_CASE(LaterReportDoesNotChangeTheVersion) {
  m_second.Record("call-1", "v1");
  m_second.Merge({ { fleet::StreamKeyOf("call-1"), "v2" } });
  BOOST_TEST(FindAtSecond("call-1", Millis(0)) == "v1");
}

BOOST_AUTO_TEST_CASE(CompleteAndSavedStreamsAreNotSaved) {
  m_first.Record("call-1", "v1");
  m_first.Record("call-2", "v1");
  m_first.Record("call-3", "v2");
  m_first.OnComplete("call-1");
  m_first.MergeSaved({ { fleet::StreamKeyOf("call-2"), "v1" } });
  const auto unsaved = m_first.TakeUnsaved(10);
  BOOST_REQUIRE(unsaved.size() == 1);
  BOOST_TEST(unsaved[0].m_stream == fleet::StreamKeyOf("call-3"));
  BOOST_TEST(unsaved[0].m_version == "v2");
  BOOST_TEST(m_first.TakeUnsaved(10).empty());
}

BOOST_AUTO_TEST_CASE(LatestStreamsAreSavedFirst) {
  for (const char* call : { "call-1", "call-2", "call-3" }) {
    m_first.Record(call, "v1");
  }
  const auto unsaved = m_first.TakeUnsaved(2);
  BOOST_REQUIRE(unsaved.size() == 2);
  BOOST_TEST(unsaved[0].m_stream == fleet::StreamKeyOf("call-3"));
  BOOST_TEST(unsaved[1].m_stream == fleet::StreamKeyOf("call-2"));
}

// When a second version appears, open streams are sent once more, to the nodes that save them.
BOOST_AUTO_TEST_CASE(IncompleteStreamsAreSentOnceMore) {
  m_first.Record("call-1", "v1");
  m_first.Record("call-2", "v1");
  m_first.OnComplete("call-2");
  RunFor(Millis(250));
  BOOST_TEST(m_sent == 2U);
  BOOST_TEST(m_first.TakeUnsaved(10).size() == 1);
  m_first.SendIncomplete();
  RunFor(Millis(250));
  BOOST_TEST(m_sent == 3U);
  BOOST_TEST(m_first.TakeUnsaved(10).size() == 1);
}

BOOST_AUTO_TEST_CASE(OldStreamsAreForgotten) {
  m_first.Record("call-1", "v1");
  m_first.RemoveExpired(Millis(1000), base::BootNow());
  BOOST_TEST(m_first.Size() == 1);
  m_first.RemoveExpired(Millis(1000), base::BootNow() + Millis(1100));
  BOOST_TEST(m_first.Size() == 0);
  BOOST_TEST(m_first.TakeUnsaved(10).empty());
}

BOOST_AUTO_TEST_SUITE_END()
