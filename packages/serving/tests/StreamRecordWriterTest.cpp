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
/// Time after its retention within which a key is removed.
constexpr Millis kMaxRemovalDelay{ 5000 };
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
    for (const auto& write : aTransaction.m_writes) {
      BOOST_TEST(write.m_key.starts_with(kPrefix));
      m_keys.push_back(write.m_key);
      m_writes.push_back(Versions(DecodeStreamRecord(write.m_data)));
      m_items[write.m_key] = m_writes.back();
    }
    for (const std::string& key : aTransaction.m_removals) {
      m_items.erase(key);
      m_removals.push_back(key);
    }
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
  /// Carries out all writes.
  void AnswerAll() {
    while (!m_pending.empty()) {
      Answer(store::Position{ 0, 1 });
    }
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
  std::vector<std::string> m_removals;
  std::deque<store::OnResult<store::Position>> m_pending;
};

/// A host that saves streams.
struct Saver {
  Saver(adapters::http::EventLoop& aLoop, PendingStore& aStore, const std::string& aOwner)
    : m_origins(aLoop)
    , m_writer(aStore, m_origins, kPrefix, aOwner) {}

  forwarding::StreamOrigins m_origins;
  StreamRecordWriter<PendingStore> m_writer;
};

struct WriterFixture {
  void Save(base::TimePoint aNow) { m_writer.Save(aNow); }
  /// Saves a stream, and lets the writer see its own writes and remove what is old.
  void SaveStream(const std::string& aCallId, Millis aRetention, base::TimePoint aNow) {
    m_origins.Record(aCallId, "v1");
    Save(aNow);
    m_store.AnswerAll();
    m_writer.OnItem(m_store.m_keys.back(), true, aNow);
    m_writer.RemoveExpired(aRetention, aNow);
    m_store.AnswerAll();
  }

  adapters::http::EventLoop m_loop;
  PendingStore m_store;
  Saver m_saver{ m_loop, m_store, "host-1" };
  forwarding::StreamOrigins& m_origins = m_saver.m_origins;
  StreamRecordWriter<PendingStore>& m_writer = m_saver.m_writer;
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
  Save(kStart + Millis(500));
  m_store.Answer(store::Position{ 0, 2 });
  m_origins.Record("call-3", "v2");
  Save(kStart + Millis(1000));
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
  Save(kStart + Millis(500));
  BOOST_TEST(m_store.m_writes.size() == 1);
  m_store.Answer(store::Position{ 0, 1 });
  Save(kStart + Millis(550));
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
  Saver next(m_loop, m_store, "host-2");
  m_origins.Record("call-1", "v1");
  Save(kStart);
  m_store.AnswerAll();
  next.m_origins.Record("call-2", "v1");
  next.m_writer.Save(kStart + Millis(100));
  m_store.AnswerAll();
  BOOST_TEST(m_store.HasStream("call-1"));
  BOOST_TEST(m_store.HasStream("call-2"));
}

// The keys were counted modulo the retention, and after a change of it the record of a recent
// second was overwritten.
BOOST_AUTO_TEST_CASE(ChangeOfTheRetentionOverwritesNoRecentStreams) {
  constexpr int kSeconds = 80;
  constexpr int kChange = 54;
  constexpr Millis kShorterRetention{ 24000 };
  for (int second = 0; second < kSeconds; ++second) {
    const Millis retention = second < kChange ? kRetention : kShorterRetention;
    SaveStream("call-" + std::to_string(second), retention, kStart + std::chrono::seconds(second));
    const int kept = static_cast<int>(retention / Millis(1000));
    for (int earlier = std::max(0, second - kept + 1); earlier <= second; ++earlier) {
      BOOST_TEST(m_store.HasStream("call-" + std::to_string(earlier)), second << " " << earlier);
    }
  }
}

// Keys of the former modulus stayed in the store.
BOOST_AUTO_TEST_CASE(KeysAreRemovedAfterAShorterRetention) {
  constexpr int kSeconds = 120;
  for (int second = 0; second < kSeconds; ++second) {
    const Millis retention = second < kSeconds / 2 ? kRetention : kRetention / 5;
    SaveStream("call-" + std::to_string(second), retention, kStart + std::chrono::seconds(second));
  }
  const auto maxKeys = static_cast<size_t>((kRetention / 5 + kMaxRemovalDelay) / Millis(1000));
  BOOST_TEST(m_store.m_items.size() <= maxKeys);
}

// Keys of a host that was lost are removed by the one that saves after it.
BOOST_AUTO_TEST_CASE(KeysOfAnotherHostAreRemovedByAge) {
  m_writer.OnItem(kPrefix + "host-2/1", true, kStart);
  m_writer.OnItem(kPrefix + "host-2/2", true, kStart + Millis(5000));
  m_writer.OnItem(kPrefix + "host-2/3", true, kStart);
  m_writer.OnItem(kPrefix + "host-2/3", false, kStart + Millis(1000));
  m_writer.RemoveExpired(kRetention, kStart + kRetention);
  BOOST_TEST(m_store.m_removals.empty());
  m_writer.RemoveExpired(kRetention, kStart + kRetention + Millis(4000));
  BOOST_TEST(m_store.m_removals == std::vector<std::string>{ kPrefix + "host-2/1" });
}

BOOST_AUTO_TEST_CASE(RemovalThatFailsIsRepeated) {
  m_writer.OnItem(kPrefix + "host-2/1", true, kStart);
  m_writer.RemoveExpired(kRetention, kStart + kRetention * 2);
  m_store.Answer(tl::unexpected(store::Fault::NotDone));
  m_writer.RemoveExpired(kRetention, kStart + kRetention * 2 + kMaxRemovalDelay);
  BOOST_TEST(m_store.m_removals.size() == 2);
}

// Each write repeated all streams of its second.
BOOST_AUTO_TEST_CASE(WritesRepeatFewStreams) {
  constexpr int kWrites = 40;
  constexpr int kStreamsPerWrite = 100;
  size_t written = 0;
  for (int write = 0; write < kWrites; ++write) {
    for (int stream = 0; stream < kStreamsPerWrite; ++stream) {
      m_origins.Record(std::to_string(write) + "-" + std::to_string(stream), "v1");
    }
    Save(kStart + Millis(100) * write);
    m_store.AnswerAll();
    written += m_store.m_writes.back().size();
  }
  BOOST_TEST(m_store.m_writes.size() == kWrites);
  BOOST_TEST(written <= kWrites * kStreamsPerWrite * 2);
  // The listing of a node that starts.
  BOOST_TEST(m_store.m_items.size() <= kWrites / 2);
  for (int write = 0; write < kWrites; ++write) {
    BOOST_TEST(m_store.HasStream(std::to_string(write) + "-0"));
  }
}

BOOST_AUTO_TEST_SUITE_END()
