#include "node/PlatformTask.h"

#include "base/Digest.h"

#include <algorithm>

namespace papayafield::node {

namespace {

/// Number of nodes of an availability zone that keep a watch open and poll the host list at the
/// configured rate.
constexpr int kWatchersPerZone = 2;
/// Factor by which the other nodes lengthen the polling interval of the host list.
constexpr int kNonWatcherPeriodFactor = 20;

} // namespace

PlatformTask::PlatformTask(const settings::NodeSettings& aSettings,
                           const base::IncarnationId& aIncarnation,
                           tasks::Mailboxes& aMailboxes)
  : m_settings(aSettings)
  , m_mailboxes(aMailboxes)
  , m_log("platform")
  , m_http(m_loop)
  , m_store(m_http, aSettings.m_platform.m_keyValue, aSettings.m_platform.m_callTimeout)
  , m_hosts(m_http, aSettings.m_platform.m_cloud, aSettings.m_platform.m_callTimeout)
  , m_configuration(m_loop,
                    m_store,
                    aSettings.m_platform.m_backstopPeriod,
                    [this](const tasks::Configuration& aConfiguration) {
                      OnConfigurationActivated(aConfiguration);
                    })
  , m_registry(m_loop,
               m_store,
               aSettings,
               aIncarnation,
               [this](std::vector<tasks::Member> aMembers) {
                 m_mailboxes.m_peers.Send(tasks::MemberListUpdate{ std::move(aMembers) });
               })
  , m_claims(m_loop, m_store, aSettings, aIncarnation, m_mailboxes) {}

void PlatformTask::Run() {
  m_mailboxWatch = m_loop.Receive(m_mailboxes.m_platform,
                                  [this](auto aMessage) { OnMessage(std::move(aMessage)); });
  ReadHosts();
  m_loop.Run();
}

void PlatformTask::OnMessage(tasks::PlatformMessage aMessage) {
  std::visit(
    tasks::Overloaded{
      [this](tasks::ApplyRequest& aRequest) {
        m_configuration.Apply(std::move(aRequest), [this](tasks::ApplyResponse aAnswer) {
          m_mailboxes.m_gateway.Send(std::move(aAnswer));
        });
      },
      [this](const tasks::ClaimRequest& aRequest) { m_claims.StartClaim(aRequest); },
      [this](const tasks::ClaimedCallEnded& aEnded) { m_claims.OnCallEnded(aEnded); },
      [this](const tasks::ClaimedCallNotRun& aNotRun) { m_claims.OnCallNotRun(aNotRun); },
      [this](const tasks::IncomingClaims& aClaims) { m_claims.OnIncomingClaims(aClaims); },
      [this](const tasks::OutgoingClaimsResponse& aResponse) {
        m_claims.OnOutgoingClaimsResponse(aResponse);
      },
      [this](const tasks::ConfigurationOffered& aOffered) {
        if (auto configuration = tasks::ParseConfiguration(aOffered.m_text)) {
          m_configuration.Offer(std::move(*configuration));
        }
      },
      [this](const tasks::PeersConsulted&) { m_configuration.Activate(); },
      [this](tasks::MemberListUpdate& aUpdate) { UpdateMembers(std::move(aUpdate.m_members)); },
      [this](const tasks::DrainStarted&) { m_registry.Drain(); },
      [this](const tasks::StopTask&) { m_loop.Stop(); },
    },
    aMessage);
}

void PlatformTask::OnConfigurationActivated(const tasks::Configuration& aConfiguration) {
  m_claims.SetRetention(aConfiguration.m_manifest->m_claimRetention);
  m_mailboxes.m_gateway.Send(tasks::ConfigurationUpdate{ aConfiguration });
  m_mailboxes.m_peers.Send(tasks::ConfigurationUpdate{ aConfiguration });
}

void PlatformTask::UpdateMembers(std::vector<tasks::Member> aMembers) {
  m_watching = IsWatcher(aMembers);
  m_configuration.SetWatching(m_watching);
  m_claims.SetMembers(std::move(aMembers));
}

bool PlatformTask::IsWatcher(const std::vector<tasks::Member>& aMembers) const {
  // The members of this zone with the highest rendezvous weights are the watchers; the others
  // receive changes from them.
  const auto weight = [](const base::NodeId& aNode) {
    return base::RendezvousWeight("watch", aNode.Text());
  };
  const uint64_t ownWeight = weight(m_settings.m_name);
  const auto higherCount =
    std::count_if(aMembers.begin(), aMembers.end(), [&](const auto& aMember) {
      return aMember.m_zone == m_settings.m_zone && aMember.m_state == tasks::MemberState::Alive &&
             weight(aMember.m_node) > ownWeight;
    });
  return higherCount < kWatchersPerZone;
}

void PlatformTask::ReadHosts() {
  m_hosts.Read([this](auto aEndpoints) {
    if (aEndpoints) {
      m_mailboxes.m_gateway.Send(tasks::EndpointListUpdate{ std::move(*aEndpoints) });
    }
    const settings::PlatformSettings& platform = m_settings.m_platform;
    const base::Millis slowPeriod =
      std::min(platform.m_hostListPeriod * kNonWatcherPeriodFactor, platform.m_backstopPeriod);
    m_hostsTimer =
      m_loop.After(m_watching ? platform.m_hostListPeriod : slowPeriod, [this] { ReadHosts(); });
  });
}

} // namespace papayafield::node
