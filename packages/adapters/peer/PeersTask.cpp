#include "adapters/peer/PeersTask.h"

#include "base/Json.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace papayafield::adapters::peer {

namespace {

using tasks::MemberState;

/// Number of membership ticks per probe period.
constexpr int kTicksPerProbePeriod = 10;
/// Timeouts of calls between nodes.
constexpr base::Millis kCallTimeout{ 1000 };
constexpr base::Millis kClaimTimeout{ 1500 };
/// Interval between anti-entropy exchanges of the full membership table.
constexpr base::Millis kExchangePeriod{ 10000 };
/// Number of peers that are queried for their configuration at startup.
constexpr size_t kSeedsQueriedAtStartup = 3;
/// Delay before a failed fetch of the configuration is retried.
constexpr base::Millis kFetchRetryDelay{ 200 };

membership::SwimSettings ToSwim(const settings::NodeSettings& aSettings) {
  membership::SwimSettings swim;
  swim.m_probePeriod = aSettings.m_fleet.m_probePeriod;
  return swim;
}

} // namespace

/// State and event loop of the running task.
class PeersTask::Loop final : private kj::TaskSet::ErrorHandler {
public:
  Loop(PeersTask& aTask, kj::AsyncIoContext& aContext)
    : m_task(aTask)
    , m_context(aContext)
    , m_log("peers")
    , m_swim(ToSwim(aTask.m_settings), aTask.m_self, std::random_device{}())
    , m_clients(aContext, aTask.m_settings.m_fleet.m_keys)
    , m_handlers(MakeHandlers())
    , m_server(MakeGate(m_handlers, aTask.m_settings.m_fleet.m_keys))
    , m_mailboxObserver(aContext.unixEventPort,
                        aTask.m_mailboxes.m_peers.Fd(),
                        kj::UnixEventPort::FdObserver::OBSERVE_READ)
    , m_socketObserver(aContext.unixEventPort,
                       aTask.m_socket.Fd(),
                       kj::UnixEventPort::FdObserver::OBSERVE_READ)
    , m_tasks(*this) {}

  /// Runs the event loop until a StopTask message is received.
  void Run() {
    auto stopSignal = kj::newPromiseAndFulfiller<void>();
    m_stopFulfiller = kj::mv(stopSignal.fulfiller);
    m_tasks.add(Listen());
    m_tasks.add(ProcessMailbox());
    m_tasks.add(ReadDatagrams());
    m_tasks.add(TickForever());
    m_tasks.add(ExchangeForever());
    stopSignal.promise.wait(m_context.waitScope);
  }

private:
  PeerHandlers MakeHandlers() {
    PeerHandlers handlers;
    handlers.m_configuration = [this] { return m_configurationText; };
    handlers.m_digest = [this] { return m_swim.Digest(); };
    handlers.m_exchange = [this](wire::Table::Reader aTheirs, wire::Table::Builder aOurs) {
      m_swim.Merge(ReadMembers(aTheirs.getMembers()),
                   ReadLeaving(aTheirs.getLeaving()),
                   base::SteadyClock().Now());
      WriteTable(aOurs, m_swim.Records(), m_swim.Leaving());
      SendPending();
    };
    handlers.m_claim = [this](std::vector<claims::ClaimOrder> aOrders) {
      return HandleClaims(std::move(aOrders));
    };
    handlers.m_done = [this](std::vector<std::string> aKeys) {
      for (std::string& key : aKeys) {
        m_task.m_mailboxes.m_platform.Send(tasks::ClaimedCallEnded{ std::move(key) });
      }
    };
    return handlers;
  }

  kj::Promise<void> Listen() {
    return m_context.provider->getNetwork()
      .parseAddress(m_task.m_settings.m_fleet.m_peerAddress.ToText())
      .then([this](kj::Own<kj::NetworkAddress> aAddress) {
        m_listener = aAddress->listen();
        return m_server.listen(*m_listener);
      });
  }

  kj::Promise<void> ProcessMailbox() {
    for (tasks::PeersMessage& message : m_task.m_mailboxes.m_peers.ReceiveAll()) {
      OnMessage(std::move(message));
    }
    SendPending();
    return m_mailboxObserver.whenBecomesReadable().then([this] { return ProcessMailbox(); });
  }

  kj::Promise<void> ReadDatagrams() {
    std::string bytes;
    while (m_task.m_socket.Receive(bytes)) {
      const auto message = DecodeDatagram(bytes, m_task.m_settings.m_fleet.m_keys);
      if (!message) {
        continue;
      }
      m_task.m_timeline.MergeRemoteTime(message->m_clock);
      m_swim.OnMessage(message->m_message,
                       message->m_message.m_sender.m_member.m_peerAddress,
                       base::SteadyClock().Now());
    }
    // Forward gossip immediately instead of at the next tick.
    m_swim.Tick(base::SteadyClock().Now());
    SendPending();
    return m_socketObserver.whenBecomesReadable().then([this] { return ReadDatagrams(); });
  }

  kj::Promise<void> TickForever() {
    const auto period = m_task.m_settings.m_fleet.m_probePeriod / kTicksPerProbePeriod;
    return Delay(std::max(period, base::Millis(1))).then([this] {
      m_swim.Tick(base::SteadyClock().Now());
      SendPending();
      return TickForever();
    });
  }

  kj::Promise<void> ExchangeForever() {
    return Delay(kExchangePeriod).then([this] {
      m_clients.CloseIdleConnections();
      if (const auto peer = m_swim.RandomPeer()) {
        m_tasks.add(ExchangeIfDifferent(peer->m_peerAddress));
      }
      return ExchangeForever();
    });
  }

  kj::Promise<void> Delay(base::Millis aDuration) {
    return m_context.provider->getTimer().afterDelay(aDuration.count() * kj::MILLISECONDS);
  }

  void OnMessage(tasks::PeersMessage aMessage) {
    std::visit(
      tasks::Overloaded{
        [this](const tasks::ConfigurationUpdate& aSeen) {
          UpdateConfiguration(aSeen.m_configuration);
        },
        [this](const tasks::EndpointLeavingNotice& aSeen) {
          m_knownLeaving.insert(aSeen.m_endpoint);
          m_swim.RecordLeaving(aSeen.m_endpoint);
        },
        [this](const tasks::MemberListUpdate& aSeen) { UpdateSeeds(aSeen.m_members); },
        [this](tasks::OutgoingClaims& aOut) { m_tasks.add(SendClaims(std::move(aOut))); },
        [this](tasks::IncomingClaimsResponse& aAnswer) { CompleteClaims(std::move(aAnswer)); },
        [this](const tasks::OutgoingDoneMarks& aOut) { m_tasks.add(SendDone(aOut)); },
        [this](const tasks::DrainStarted&) { m_swim.Drain(); },
        [this](const tasks::StopTask&) { m_stopFulfiller->fulfill(); },
      },
      aMessage);
    m_swim.Tick(base::SteadyClock().Now());
  }

  void UpdateConfiguration(const tasks::Configuration& aConfiguration) {
    m_configurationText = tasks::SerializeConfiguration(aConfiguration);
    m_swim.SetGeneration(aConfiguration.m_generation);
    m_generation = aConfiguration.m_generation;
  }

  void UpdateSeeds(const std::vector<tasks::Member>& aMembers) {
    std::vector<base::Address> seeds;
    for (const tasks::Member& member : aMembers) {
      if (member.m_node != m_task.m_self.m_node) {
        seeds.push_back(member.m_peerAddress);
      }
    }
    m_swim.AddSeeds(seeds);
    if (!std::exchange(m_seedsQueried, true)) {
      std::shuffle(seeds.begin(), seeds.end(), std::mt19937_64(std::random_device{}()));
      seeds.resize(std::min(seeds.size(), kSeedsQueriedAtStartup));
      m_tasks.add(QuerySeeds(seeds));
    }
  }

  /// Fetches the membership table and the configuration from `aSeeds` in parallel, and notifies the
  /// platform task when all calls have ended.
  kj::Promise<void> QuerySeeds(const std::vector<base::Address>& aSeeds) {
    auto queries = kj::heapArrayBuilder<kj::Promise<void>>(aSeeds.size());
    for (const base::Address& seed : aSeeds) {
      queries.add(Exchange(seed)
                    .then([this, seed] { return FetchConfiguration(seed); })
                    .catch_([](const kj::Exception&) {}));
    }
    return kj::joinPromises(queries.finish()).then([this] {
      m_task.m_mailboxes.m_platform.Send(tasks::PeersConsulted{});
    });
  }

  /// Exchanges membership tables with a peer if the digests differ.
  kj::Promise<void> ExchangeIfDifferent(const base::Address& aPeer) {
    return m_clients
      .Call<uint64_t>(aPeer,
                      kCallTimeout,
                      [](wire::Peer::Client aClient) {
                        return aClient.summaryRequest().send().then(
                          [](capnp::Response<wire::Peer::SummaryResults> aResult) {
                            return aResult.getDigest();
                          });
                      })
      .then([this, aPeer](uint64_t aDigest) -> kj::Promise<void> {
        if (aDigest == m_swim.Digest()) {
          return kj::READY_NOW;
        }
        return Exchange(aPeer);
      });
  }

  kj::Promise<void> Exchange(const base::Address& aPeer) {
    return m_clients.Call<void>(aPeer, kCallTimeout, [this](wire::Peer::Client aClient) {
      auto request = aClient.exchangeRequest();
      WriteTable(request.initTable(), m_swim.Records(), m_swim.Leaving());
      return request.send().then([this](capnp::Response<wire::Peer::ExchangeResults> aResult) {
        m_swim.Merge(ReadMembers(aResult.getTable().getMembers()),
                     ReadLeaving(aResult.getTable().getLeaving()),
                     base::SteadyClock().Now());
        SendPending();
      });
    });
  }

  kj::Promise<void> FetchConfiguration(const base::Address& aPeer) {
    return m_clients.Call<void>(aPeer, kCallTimeout, [this](wire::Peer::Client aClient) {
      return aClient.configurationRequest().send().then(
        [this](capnp::Response<wire::Peer::ConfigurationResults> aResult) {
          const auto text = aResult.getText();
          const std::string configuration(text.begin(), text.size());
          m_fetchedGeneration =
            std::max(m_fetchedGeneration,
                     base::ValueOr(base::ParseJson(configuration), "generation", uint64_t{ 0 }));
          if (!configuration.empty()) {
            m_task.m_mailboxes.m_platform.Send(tasks::ConfigurationOffered{ configuration });
          }
        });
    });
  }

  /// Fetches the configuration from a member that has a newer generation, one fetch at a time.
  void FetchIfBehind() {
    const uint64_t ownGeneration = std::max(m_generation, m_fetchedGeneration);
    if (m_fetching) {
      return;
    }
    for (const tasks::Member& member : m_swim.Members()) {
      if (member.m_generation <= ownGeneration || member.m_state == MemberState::Dead ||
          member.m_node == m_task.m_self.m_node) {
        continue;
      }
      m_fetching = true;
      m_tasks.add(FetchConfiguration(member.m_peerAddress)
                    .then([] { return true; }, [](kj::Exception&&) { return false; })
                    .then([this](bool aFetched) {
                      return aFetched ? kj::Promise<void>(kj::READY_NOW) : Delay(kFetchRetryDelay);
                    })
                    .then([this] {
                      m_fetching = false;
                      FetchIfBehind();
                    }));
      return;
    }
  }

  kj::Promise<void> SendClaims(tasks::OutgoingClaims aOut) {
    const uint64_t batch = aOut.m_batch;
    return m_clients
      .Call<void>(aOut.m_homeAddress,
                  kClaimTimeout,
                  [this, batch, orders = std::move(aOut.m_orders)](wire::Peer::Client aClient) {
                    auto request = aClient.claimRequest();
                    auto list = request.initOrders(static_cast<unsigned>(orders.size()));
                    for (size_t i = 0; i < orders.size(); ++i) {
                      WriteOrder(list[static_cast<unsigned>(i)], orders[i]);
                    }
                    return request.send().then(
                      [this, batch](capnp::Response<wire::Peer::ClaimResults> aResult) {
                        tasks::OutgoingClaimsResponse response{ batch, true, {} };
                        for (const auto reply : aResult.getReplies()) {
                          response.m_replies.push_back(ReadReply(reply));
                        }
                        m_task.m_mailboxes.m_platform.Send(std::move(response));
                      });
                  })
      .catch_([this, batch](const kj::Exception&) {
        m_task.m_mailboxes.m_platform.Send(tasks::OutgoingClaimsResponse{ batch, false, {} });
      });
  }

  kj::Promise<void> SendDone(const tasks::OutgoingDoneMarks& aOut) {
    return m_clients
      .Call<void>(aOut.m_homeAddress,
                  kCallTimeout,
                  [keys = aOut.m_keys](wire::Peer::Client aClient) {
                    auto request = aClient.doneRequest();
                    auto list = request.initKeys(static_cast<unsigned>(keys.size()));
                    for (size_t i = 0; i < keys.size(); ++i) {
                      list.set(static_cast<unsigned>(i), keys[i]);
                    }
                    return request.send().ignoreResult();
                  })
      .catch_([](const kj::Exception&) {});
  }

  kj::Promise<std::vector<claims::ClaimReply>> HandleClaims(
    std::vector<claims::ClaimOrder> aOrders) {
    auto answer = kj::newPromiseAndFulfiller<std::vector<claims::ClaimReply>>();
    const uint64_t call = ++m_lastClaimCall;
    m_pendingClaims[call] = kj::mv(answer.fulfiller);
    m_task.m_mailboxes.m_platform.Send(tasks::IncomingClaims{ call, std::move(aOrders) });
    return kj::mv(answer.promise);
  }

  void CompleteClaims(tasks::IncomingClaimsResponse aAnswer) {
    const auto found = m_pendingClaims.find(aAnswer.m_call);
    if (found != m_pendingClaims.end()) {
      found->second->fulfill(std::move(aAnswer.m_replies));
      m_pendingClaims.erase(found);
    }
  }

  /// Sends pending membership messages and reports membership changes to the other tasks.
  void SendPending() {
    const std::string& key = m_task.m_settings.m_fleet.m_keys.front();
    for (membership::SwimSend& send : m_swim.TakeSends()) {
      m_task.m_socket.Send(
        send.m_to, EncodeDatagram({ std::move(send.m_message), m_task.m_timeline.Tick() }, key));
    }
    for (const base::EndpointId& endpoint : m_swim.TakeLeaving()) {
      if (m_knownLeaving.insert(endpoint).second) {
        m_task.m_mailboxes.m_gateway.Send(tasks::EndpointLeavingNotice{ endpoint });
      }
    }
    if (m_swim.TakeChanged()) {
      RecordStateChanges();
      m_task.m_mailboxes.m_gateway.Send(tasks::MemberListUpdate{ m_swim.Members() });
      m_task.m_mailboxes.m_platform.Send(tasks::MemberListUpdate{ m_swim.Members() });
      FetchIfBehind();
    }
  }

  void RecordStateChanges() {
    for (const tasks::Member& member : m_swim.Members()) {
      const auto [entry, inserted] = m_recordedStates.try_emplace(member.m_node, member.m_state);
      if (!inserted && entry->second == member.m_state) {
        continue;
      }
      entry->second = member.m_state;
      m_task.m_timeline.Add(base::EventKind::MemberChanged,
                            {},
                            member.m_node.Text(),
                            std::string(base::NameOf(member.m_state)));
    }
  }

  void taskFailed(kj::Exception&& aException) override {
    m_log.Debug(std::string("A background task failed: ") + aException.getDescription().cStr() +
                ".");
  }

  PeersTask& m_task;
  kj::AsyncIoContext& m_context;
  base::Log m_log;
  membership::Swim m_swim;
  PeerClients m_clients;
  PeerHandlers m_handlers;
  capnp::TwoPartyServer m_server;
  kj::Own<kj::ConnectionReceiver> m_listener;
  kj::UnixEventPort::FdObserver m_mailboxObserver;
  kj::UnixEventPort::FdObserver m_socketObserver;
  kj::Own<kj::PromiseFulfiller<void>> m_stopFulfiller;
  std::string m_configurationText;
  uint64_t m_generation = 0;
  bool m_seedsQueried = false;
  bool m_fetching = false;
  /// Highest generation fetched; it may not be active on this node yet.
  uint64_t m_fetchedGeneration = 0;
  uint64_t m_lastClaimCall = 0;
  std::map<uint64_t, kj::Own<kj::PromiseFulfiller<std::vector<claims::ClaimReply>>>>
    m_pendingClaims;
  std::map<base::NodeId, MemberState> m_recordedStates;
  std::set<base::EndpointId> m_knownLeaving;
  /// Declared last, so that it is destroyed first: the tasks use the other members.
  kj::TaskSet m_tasks;
};

PeersTask::PeersTask(const settings::NodeSettings& aSettings,
                     tasks::Member aSelf,
                     base::Timeline& aTimeline,
                     tasks::Mailboxes& aMailboxes)
  : m_settings(aSettings)
  , m_self(std::move(aSelf))
  , m_timeline(aTimeline)
  , m_mailboxes(aMailboxes)
  , m_socket(aSettings.m_fleet.m_peerAddress) {}

void PeersTask::Run() {
  auto context = kj::setupAsyncIo();
  Loop loop(*this, context);
  loop.Run();
}

} // namespace papayafield::adapters::peer
