#include "forwarding/ProcessContinuity.h"
#include "adapters/http1/Listener.h"

#include <boost/test/unit_test.hpp>

using namespace papayafield;
using namespace papayafield::forwarding;
using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using base::Millis;

namespace {

const base::Address kAddress{ "127.0.0.1", 18571 };
constexpr Millis kMaxWait{ 900 };
const std::string kRelay = "127.0.0.2";

fleet::Registration MakeRegistration(int64_t aStartMs,
                                     const std::string& aVersion,
                                     uint64_t aRevision) {
  fleet::Endpoint endpoint;
  endpoint.m_incarnation = { base::EndpointId("i-1"), aStartMs };
  endpoint.m_address = kAddress;
  endpoint.m_version = aVersion;
  endpoint.m_position = { 0, aRevision };
  return { endpoint.m_incarnation.m_endpoint, endpoint.m_position, endpoint };
}

/// A node with a registered endpoint. The test answers the confirmations of the view.
struct ContinuityFixture {
  ContinuityFixture() { Register(1, "v1", 1); }
  void Register(int64_t aStartMs, const std::string& aVersion, uint64_t aRevision) {
    const fleet::Registration registration = MakeRegistration(aStartMs, aVersion, aRevision);
    m_directory.Put(registration);
    m_endpoint = *registration.m_endpoint;
  }
  ProcessContinuity::Connection Connect(const std::string& aRelay = {}) {
    auto connection = ClientConnection::ConnectTo(m_loop, kAddress, Millis(1000));
    connection->SetEvents({});
    RunFor(Millis(20));
    m_continuity.OnEstablished(m_endpoint.m_incarnation, connection, aRelay);
    return connection;
  }
  void End(const ProcessContinuity::Connection& aConnection,
           EndKind aKind = EndKind::Reset,
           const std::string& aRelay = {}) {
    m_continuity.OnEnded(m_endpoint.m_incarnation, aConnection, aKind, aRelay);
    aConnection->Close();
  }
  bool IsConfirmed(const ProcessContinuity::Connection& aConnection) const {
    return m_continuity.IsConfirmed(
      m_endpoint, m_continuity.ProcessSince(m_endpoint.m_incarnation, aConnection));
  }
  void Confirm(const ProcessContinuity::Connection& aConnection) {
    m_continuity.Confirm(m_endpoint,
                         m_continuity.ProcessSince(m_endpoint.m_incarnation, aConnection),
                         kMaxWait,
                         [this](bool aIsSame) { m_results.push_back(aIsSame); });
  }
  void RunFor(Millis aDuration) {
    const auto timer = m_loop.After(aDuration, [this] { m_loop.Stop(); });
    m_loop.Run();
  }

  adapters::http::EventLoop m_loop;
  std::vector<std::shared_ptr<adapters::http1::ServerConnection>> m_accepted;
  adapters::http1::Listener m_listener{ m_loop, kAddress, 4096, [this](auto aConnection) {
                                         m_accepted.push_back(std::move(aConnection));
                                       } };
  fleet::Endpoint m_endpoint;
  fleet::EndpointDirectory m_directory{ Millis(0) };
  int m_confirmations = 0;
  bool m_isCurrent = true;
  ProcessContinuity m_continuity{ m_loop,
                                  m_directory,
                                  [this](Millis, const std::function<void(bool)>& aOnDone) {
                                    ++m_confirmations;
                                    aOnDone(m_isCurrent);
                                  } };
  std::vector<bool> m_results;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProcessContinuityTest, ContinuityFixture)

BOOST_AUTO_TEST_CASE(EndpointWithoutSignOfAnotherProcessIsConfirmed) {
  const auto first = Connect();
  const auto second = Connect();
  BOOST_TEST(IsConfirmed(first));
  End(first);
  BOOST_TEST(!m_continuity.HasEnded(m_endpoint.m_incarnation));
  BOOST_TEST(IsConfirmed(second));
  BOOST_TEST(IsConfirmed(Connect()));
}

BOOST_AUTO_TEST_CASE(ProcessAfterTheLastConnectionIsConfirmedByTheViewAfterIt) {
  End(Connect());
  BOOST_TEST(m_continuity.HasEnded(m_endpoint.m_incarnation));
  const auto connection = Connect();
  BOOST_TEST(!m_continuity.HasEnded(m_endpoint.m_incarnation));
  BOOST_TEST(!IsConfirmed(connection));
  Confirm(connection);
  Confirm(connection);
  RunFor(ProcessContinuity::kMaxRegistrationDelay / 2);
  BOOST_TEST(m_confirmations == 0);
  RunFor(ProcessContinuity::kMaxRegistrationDelay);
  BOOST_TEST(m_confirmations == 1);
  BOOST_TEST((m_results == std::vector<bool>{ true, true }));
  BOOST_TEST(IsConfirmed(connection));
  BOOST_TEST(IsConfirmed(Connect()));
}

BOOST_AUTO_TEST_CASE(RefusedConnectionIsASignWhileOthersSeemOpen) {
  const auto open = Connect();
  const auto refused = ClientConnection::ConnectTo(m_loop, kAddress, Millis(1000));
  refused->SetEvents({});
  End(refused, EndKind::NotConnected);
  BOOST_TEST(!IsConfirmed(Connect()));
  // The connection from before leads to the process from before.
  BOOST_TEST(IsConfirmed(open));
}

// Direct connections of an isolated node seem open until they time out.
BOOST_AUTO_TEST_CASE(EndBehindARelayIsASignWhileDirectConnectionsSeemOpen) {
  const auto direct = Connect();
  const auto first = Connect(kRelay);
  const auto second = Connect(kRelay);
  End(first, EndKind::Finished, kRelay);
  BOOST_TEST(!m_continuity.HasEnded(m_endpoint.m_incarnation));
  End(second, EndKind::Finished, kRelay);
  BOOST_TEST(m_continuity.HasEnded(m_endpoint.m_incarnation));
  const auto relayed = Connect(kRelay);
  BOOST_TEST(!m_continuity.HasEnded(m_endpoint.m_incarnation));
  BOOST_TEST(!IsConfirmed(relayed));
  BOOST_TEST(IsConfirmed(direct));
  Confirm(relayed);
  RunFor(ProcessContinuity::kMaxRegistrationDelay * 2);
  BOOST_TEST(IsConfirmed(relayed));
  // The node reaches the endpoints again: the same process.
  BOOST_TEST(IsConfirmed(Connect()));
}

// An endpoint that was restarted while no connection through a relay was open was taken for the one
// before.
BOOST_AUTO_TEST_CASE(RelayedConnectionWithoutAnOpenOneIsConfirmedByTheViewAfterIt) {
  const auto unestablished = ClientConnection::ConnectTo(m_loop, kAddress, Millis(1000));
  const auto since = [&](const ProcessContinuity::Connection& aConnection) {
    return m_continuity.ProcessSince(m_endpoint.m_incarnation, aConnection, kRelay);
  };
  BOOST_TEST((since(unestablished) != base::TimePoint{}));
  const auto direct = Connect();
  for (int i = 0; i < 2; ++i) {
    BOOST_TEST(!m_continuity.IsConfirmed(m_endpoint, since(unestablished)));
    const auto first = Connect(kRelay);
    BOOST_TEST(!IsConfirmed(first));
    const auto second = Connect(kRelay);
    BOOST_TEST((since(first) == since(second)));
    Confirm(second);
    RunFor(ProcessContinuity::kMaxRegistrationDelay * 2);
    BOOST_TEST(IsConfirmed(first));
    BOOST_TEST(IsConfirmed(second));
    BOOST_TEST(m_continuity.IsConfirmed(m_endpoint, since(unestablished)));
    first->Close();
    second->Close();
  }
  BOOST_TEST(IsConfirmed(direct));
}

// A relay that hangs does not show that the endpoint has ended its connection.
BOOST_AUTO_TEST_CASE(OpenConnectionThroughOneRelayVouchesForNoOther) {
  const auto hanging = Connect(kRelay);
  Confirm(hanging);
  RunFor(ProcessContinuity::kMaxRegistrationDelay * 2);
  BOOST_TEST(IsConfirmed(hanging));
  const auto other = Connect("127.0.0.3");
  BOOST_TEST(!IsConfirmed(other));
  BOOST_TEST(IsConfirmed(hanging));
}

// A relayed connection that is left says nothing about the direct ones.
BOOST_AUTO_TEST_CASE(EndOfTheLastDirectConnectionIsASignBesideRelayedOnes) {
  const auto relayed = Connect(kRelay);
  const auto since = m_continuity.ProcessSince(m_endpoint.m_incarnation, relayed);
  End(Connect());
  BOOST_TEST(m_continuity.HasEnded(m_endpoint.m_incarnation));
  BOOST_TEST((m_continuity.ProcessSince(m_endpoint.m_incarnation, relayed) == since));
  const auto direct = Connect();
  BOOST_TEST(!IsConfirmed(direct));
  BOOST_TEST((m_continuity.ProcessSince(m_endpoint.m_incarnation, direct) > since));
}

BOOST_AUTO_TEST_CASE(AnotherRegistrationConfirmsNothing) {
  const fleet::Endpoint registered = m_endpoint;
  uint64_t revision = 1;
  for (const auto& [startMs, version] : { std::pair(2, "v2"), std::pair(1, "v2") }) {
    Register(1, "v1", ++revision);
    End(Connect());
    const auto connection = Connect();
    Register(startMs, version, ++revision);
    m_endpoint = registered;
    m_results.clear();
    Confirm(connection);
    RunFor(ProcessContinuity::kMaxRegistrationDelay * 2);
    BOOST_TEST((m_results == std::vector<bool>{ false }));
    BOOST_TEST(!IsConfirmed(connection));
  }
}

BOOST_AUTO_TEST_CASE(ViewThatIsNotConfirmedIsTriedAgainUntilTheWaitEnds) {
  End(Connect());
  m_isCurrent = false;
  Confirm(Connect());
  RunFor(kMaxWait / 2);
  BOOST_TEST(m_results.empty());
  RunFor(kMaxWait);
  BOOST_TEST((m_results == std::vector<bool>{ false }));
  BOOST_TEST(m_confirmations > 1);
}

BOOST_AUTO_TEST_SUITE_END()
