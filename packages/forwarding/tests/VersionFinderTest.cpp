#include "forwarding/VersionFinder.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using base::Millis;

namespace {

const fleet::ServiceId kService("engines");
constexpr Millis kMaxWait{ 400 };

fleet::Endpoint MakeEndpoint(const std::string& aVersion) {
  fleet::Endpoint endpoint;
  endpoint.m_service = kService;
  endpoint.m_version = aVersion;
  return endpoint;
}

/// A node with one peer. The test answers the questions to the peer and the checks of the view.
struct FinderFixture {
  FinderFixture() {
    m_origins.SetSenders([](const auto&) {},
                         [this](const auto& aKeys) {
                           m_queries += aKeys.size();
                           return size_t{ 1 };
                         });
    m_finder.SetConfirmView(
      [this](Millis, std::function<void(bool)> aOnDone) { m_onViewChecked = std::move(aOnDone); });
    m_history.SetComplete();
    m_history.Add(MakeEndpoint("v1"), base::BootNow());
  }
  void Find() {
    m_finder.Find({ "call-1", kService },
                  kMaxWait,
                  [this](const std::optional<std::string>& aVersion, VersionSource aSource) {
                    ++m_results;
                    m_version = aVersion.value_or("none");
                    m_source = aSource;
                  });
  }
  void RunFor(Millis aDuration) {
    const auto timer = m_loop.After(aDuration, [this] { m_loop.Stop(); });
    m_loop.Run();
  }
  void CheckResult(const std::string& aVersion, VersionSource aSource) const {
    BOOST_TEST(m_results == 1);
    BOOST_TEST(m_version == aVersion);
    BOOST_TEST(base::NameOf(m_source) == base::NameOf(aSource));
  }

  adapters::http::EventLoop m_loop;
  StreamOrigins m_origins{ m_loop };
  fleet::VersionHistory m_history;
  VersionFinder m_finder{ m_loop, m_origins, m_history };
  size_t m_queries = 0;
  std::function<void(bool)> m_onViewChecked;
  int m_results = 0;
  std::string m_version;
  VersionSource m_source = VersionSource::None;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(VersionFinderTest, FinderFixture)

BOOST_AUTO_TEST_CASE(OwnRecordIsTakenAtOnce) {
  m_origins.Merge({ { fleet::StreamKeyOf("call-1"), "v2" } });
  Find();
  CheckResult("v2", VersionSource::Record);
  BOOST_TEST(!m_onViewChecked);
}

BOOST_AUTO_TEST_CASE(OnlyVersionIsTakenOnceTheViewIsConfirmed) {
  Find();
  RunFor(kMaxWait / 2);
  BOOST_TEST(m_results == 0);
  m_onViewChecked(true);
  RunFor(kMaxWait / 2);
  CheckResult("v1", VersionSource::OnlyVersion);
  RunFor(kMaxWait);
  CheckResult("v1", VersionSource::OnlyVersion);
  // Peers that ask must not take the conclusion for a record.
  BOOST_TEST(m_origins.Known({ fleet::StreamKeyOf("call-1") }).empty());
}

// A node whose memory had a gap took its only version although the node that had begun the stream
// knew better.
BOOST_AUTO_TEST_CASE(PeerThatKnowsTheStreamIsRightAgainstTheOnlyVersion) {
  Find();
  m_onViewChecked(true);
  RunFor(Millis(20));
  BOOST_TEST(m_results == 0);
  m_origins.Merge({ { fleet::StreamKeyOf("call-1"), "v2" } });
  CheckResult("v2", VersionSource::Peer);
}

BOOST_AUTO_TEST_CASE(OnlyVersionIsTakenAtOnceIfNoPeerKnowsTheStream) {
  Find();
  RunFor(Millis(20));
  m_origins.OnUnknown("10.1.0.2", { fleet::StreamKeyOf("call-1") });
  BOOST_TEST(m_results == 0);
  m_onViewChecked(true);
  CheckResult("v1", VersionSource::OnlyVersion);
}

// The version was taken for the only one although a second one had joined while the node stood
// still.
BOOST_AUTO_TEST_CASE(VersionThatJoinedMeanwhileIsSeenOnceTheViewIsConfirmed) {
  Find();
  m_history.Add(MakeEndpoint("v2"), base::BootNow());
  m_onViewChecked(true);
  BOOST_TEST(m_results == 0);
  RunFor(kMaxWait * 2);
  CheckResult("none", VersionSource::None);
}

BOOST_AUTO_TEST_CASE(UnconfirmedViewTellsNothing) {
  Find();
  m_onViewChecked(false);
  RunFor(kMaxWait * 2);
  CheckResult("none", VersionSource::None);
}

BOOST_AUTO_TEST_CASE(PeerIsAskedWhileTheViewIsChecked) {
  Find();
  RunFor(Millis(40));
  BOOST_TEST(m_queries == 1U);
  m_origins.Merge({ { fleet::StreamKeyOf("call-1"), "v2" } });
  CheckResult("v2", VersionSource::Peer);
  m_onViewChecked(true);
  CheckResult("v2", VersionSource::Peer);
}

BOOST_AUTO_TEST_CASE(SeveralVersionsNeedNoCheckOfTheView) {
  m_history.Add(MakeEndpoint("v2"), base::BootNow());
  Find();
  BOOST_TEST(!m_onViewChecked);
  RunFor(kMaxWait * 2);
  CheckResult("none", VersionSource::None);
}

BOOST_AUTO_TEST_CASE(SearchWithoutTimeEndsAtOnce) {
  m_history.Add(MakeEndpoint("v2"), base::BootNow());
  m_finder.Find({ "call-1", kService },
                Millis(0),
                [this](const std::optional<std::string>& aVersion, VersionSource) {
                  ++m_results;
                  BOOST_TEST(!aVersion.has_value());
                });
  BOOST_TEST(m_results == 1);
}

BOOST_AUTO_TEST_SUITE_END()
