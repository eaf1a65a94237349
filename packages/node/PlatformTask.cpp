#include "node/PlatformTask.h"

namespace papayafield::node {

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
                    [this](const tasks::Configuration& aAdopted) { OnAdopted(aAdopted); })
  , m_registry(m_loop,
               m_store,
               aSettings,
               aIncarnation,
               [this](std::vector<tasks::Member> aMembers) {
                 m_mailboxes.m_gateway.Send(tasks::MembersSeen{ std::move(aMembers) });
               })
  , m_claims(m_loop, m_store, aSettings, aIncarnation, [this](const tasks::ClaimAnswer& aAnswer) {
    m_mailboxes.m_gateway.Send(aAnswer);
  }) {}

void PlatformTask::Run() {
  m_mailWatch = m_loop.Receive(m_mailboxes.m_platform,
                               [this](auto aMessage) { OnMessage(std::move(aMessage)); });
  ReadHosts();
  m_loop.Run();
}

void PlatformTask::OnMessage(tasks::PlatformMessage aMessage) {
  std::visit(tasks::Overloaded{
               [this](tasks::ApplyAsk& aAsk) {
                 m_configuration.Apply(std::move(aAsk), [this](tasks::ApplyAnswer aAnswer) {
                   m_mailboxes.m_gateway.Send(std::move(aAnswer));
                 });
               },
               [this](const tasks::ClaimAsk& aAsk) { m_claims.Ask(aAsk); },
               [this](const tasks::ClaimDone& aDone) { m_claims.Done(aDone); },
               [this](tasks::ConfigurationSeen& aSeen) {
                 m_configuration.Offer(std::move(aSeen.m_configuration));
               },
               [](const tasks::LeavingSeen&) {},
               [](const tasks::MembersSeen&) {},
               [this](const tasks::DrainStarted&) { m_registry.Drain(); },
               [this](const tasks::StopTask&) { m_loop.Stop(); },
             },
             aMessage);
}

void PlatformTask::OnAdopted(const tasks::Configuration& aConfiguration) {
  m_claims.SetRetention(aConfiguration.m_manifest->m_claimRetention);
  m_mailboxes.m_gateway.Send(tasks::ConfigurationSeen{ aConfiguration });
}

void PlatformTask::ReadHosts() {
  m_hosts.Read([this](auto aEndpoints) {
    if (aEndpoints) {
      m_mailboxes.m_gateway.Send(tasks::EndpointsSeen{ std::move(*aEndpoints) });
    }
    m_hostsTimer = m_loop.After(m_settings.m_platform.m_hostListPeriod, [this] { ReadHosts(); });
  });
}

} // namespace papayafield::node
