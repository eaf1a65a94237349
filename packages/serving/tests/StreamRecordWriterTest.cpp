#include "serving/StreamRecordWriter.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <map>

using namespace papayafield;
using namespace papayafield::serving;
using base::Millis;

namespace {

const std::string kPrefix = "streams/";
constexpr Millis kRetention{ 35000 };
constexpr int64_t kWallMs = 1'700'000'000'000;
const base::TimePoint kStart{ std::chrono::hours(1) };

using StreamVersions = std::map<fleet::StreamKey, std::string>;

StreamVersions Versions(const std::vector<fleet::StreamOrigin>& aOrigins) {
  StreamVersions versions;
  for (const fleet::StreamOrigin& origin : aOrigins) {
    versions[origin.m_stream] = origin.m_version;
  }
  return versions;
}

/// A store whose writes are answered by the test.
class PendingStore {
public:
  void List(const std::string&, const store::OnResult<store::Listing>&) {}
  void Watch(const std::string&, uint64_t, Millis, const store::OnResult<store::Changes>&) {}
  void Commit(const store::Transaction& aTransaction, store::OnResult<store::Position> aOnResult) {
    BOOST_REQUIRE(aTransaction.m_writes.size() == 1);
    BOOST_TEST(aTransaction.m_writes[0].m_key.starts_with(kPrefix));
    m_keys.push_back(aTransaction.m_writes[0].m_key);
    m_writes.push_back(Versions(DecodeStreamRecord(aTransaction.m_writes[0].m_data)));
    m_items[m_keys.back()] = m_writes.back();
    m_pending.push_back(std::move(aOnResult));
  }
  void Grant(Millis, const store::OnResult<store::Lease>&) {}
  void Renew(uint64_t, const store::OnResult<store::Renewal>&) {}
  void EndLease(uint64_t) {}
  static uint64_t LatestEra() { return 0; }

  /// Answers the oldest write.
  void Answer(const store::Result<store::Position>& aResult) {
    BOOST_REQUIRE(!m_pending.empty());
    const auto onResult = std::move(m_pending.front());
    m_pending.pop_front();
    onResult(aResult);
  }

  /// Returns whether the stream of `aCallId` can be read.
  bool HasStream(const std::string& aCallId) const {
    return std::any_of(m_items.begin(), m_items.end(), [&](const auto& aItem) {
      return aItem.second.contains(fleet::StreamKeyOf(aCallId));
    });
  }

  std::vector<std::string> m_keys;
  std::vector<StreamVersions> m_writes;
  std::map<std::string, StreamVersions> m_items;
  std::deque<store::OnResult<store::Position>> m_pending;
};

struct WriterFixture {
  void Save(base::TimePoint aNow, int64_t aWallMs = kWallMs) {
    m_writer.Save(kRetention, aNow, aWallMs);
  }

  adapters::http::EventLoop m_loop;
  forwarding::StreamOrigins m_origins{ m_loop };
  PendingStore m_store;
  StreamRecordWriter<PendingStore> m_writer{ m_store, m_origins, kPrefix, "host-1" };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(StreamRecordWriterTest, WriterFixture)

// Streams were saved once a second, and most of those that were open at a loss of all nodes had
// begun since.
BOOST_AUTO_TEST_CASE(StreamIsSavedWithinAFractionOfASecond) {
  constexpr Millis kMaxDelay{ 200 };
  m_origins.Record("call-1", "v1");
  Save(kStart);
  m_store.Answer(store::Position{ 0, 1 });
  m_origins.Record("call-2", "v2");
  Save(kStart + Millis(1));
  BOOST_TEST(m_store.m_writes.size() == 1);
  Save(kStart + kMaxDelay);
  BOOST_REQUIRE(m_store.m_writes.size() == 2);
  BOOST_TEST(m_store.m_writes[1].at(fleet::StreamKeyOf("call-2")) == "v2");
}

BOOST_AUTO_TEST_CASE(KeyKeepsTheStreamsOfItsSecond) {
  m_origins.Record("call-1", "v1");
  Save(kStart);
  m_store.Answer(store::Position{ 0, 1 });
  m_origins.Record("call-2", "v2");
  Save(kStart + Millis(500), kWallMs + 500);
  m_store.Answer(store::Position{ 0, 2 });
  m_origins.Record("call-3", "v2");
  Save(kStart + Millis(1000), kWallMs + 1000);
  const fleet::StreamKey first = fleet::StreamKeyOf("call-1");
  const fleet::StreamKey second = fleet::StreamKeyOf("call-2");
  const fleet::StreamKey third = fleet::StreamKeyOf("call-3");
  BOOST_REQUIRE(m_store.m_writes.size() == 3);
  BOOST_TEST((m_store.m_writes[1] == StreamVersions{ { first, "v1" }, { second, "v2" } }));
  BOOST_TEST((m_store.m_writes[2] == StreamVersions{ { third, "v2" } }));
  BOOST_TEST(m_store.m_keys[0] == m_store.m_keys[1]);
  BOOST_TEST(m_store.m_keys[1] != m_store.m_keys[2]);
}

BOOST_AUTO_TEST_CASE(NothingIsWrittenWithoutNewStreams) {
  Save(kStart);
  m_origins.Record("call-1", "v1");
  m_origins.OnComplete("call-1");
  Save(kStart + Millis(1000));
  BOOST_TEST(m_store.m_writes.empty());
}

BOOST_AUTO_TEST_CASE(StreamsWaitForTheWriteInProgress) {
  m_origins.Record("call-1", "v1");
  Save(kStart);
  m_origins.Record("call-2", "v1");
  m_origins.Record("call-3", "v2");
  Save(kStart + Millis(2000));
  BOOST_TEST(m_store.m_writes.size() == 1);
  m_store.Answer(store::Position{ 0, 1 });
  Save(kStart + Millis(2050));
  BOOST_REQUIRE(m_store.m_writes.size() == 2);
  BOOST_TEST(m_store.m_writes[1].size() == 3);
}

BOOST_AUTO_TEST_CASE(StreamsOfAFailedWriteAreWrittenAgain) {
  const auto now = base::BootNow();
  m_origins.Record("call-1", "v1");
  Save(now);
  m_store.Answer(tl::unexpected(store::Fault::Unknown));
  Save(now + Millis(1500));
  BOOST_REQUIRE(m_store.m_writes.size() == 2);
  BOOST_TEST(m_store.m_writes[1].contains(fleet::StreamKeyOf("call-1")));
}

// A host that took over overwrote the key of the former one, whose streams were lost.
BOOST_AUTO_TEST_CASE(HostThatTakesOverKeepsTheStreamsOfTheFormerOne) {
  forwarding::StreamOrigins origins(m_loop);
  StreamRecordWriter<PendingStore> next(m_store, origins, kPrefix, "host-2");
  m_origins.Record("call-1", "v1");
  Save(kStart);
  m_store.Answer(store::Position{ 0, 1 });
  origins.Record("call-2", "v1");
  next.Save(kRetention, kStart + Millis(100), kWallMs + 100);
  m_store.Answer(store::Position{ 0, 2 });
  BOOST_TEST(m_store.HasStream("call-1"));
  BOOST_TEST(m_store.HasStream("call-2"));
}

BOOST_AUTO_TEST_SUITE_END()
