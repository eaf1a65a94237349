#include "node/NodeRegistry.h"

#include "base/Json.h"

namespace papayafield::node {

namespace {

constexpr char kPrefix[] = "papayafield/nodes/";
/// Lease duration of a registration, and the interval between renewals.
constexpr base::Millis kLeaseDuration{ 60000 };
constexpr base::Millis kRenewPeriod{ 20000 };
/// Number of lists read in quick succession after the start.
constexpr int kEarlyListCount = 5;
/// Delay before a retry of a failed call, and between early lists.
constexpr base::Millis kRetryDelay{ 500 };

} // namespace

NodeRegistry::NodeRegistry(adapters::http::EventLoop& aLoop,
                           KeyValueAdapter& aStore,
                           const settings::NodeSettings& aSettings,
                           base::IncarnationId aIncarnation,
                           std::function<void(std::vector<tasks::Member>)> aOnListed)
  : m_loop(aLoop)
  , m_store(aStore)
  , m_settings(aSettings)
  , m_incarnation(std::move(aIncarnation))
  , m_onListed(std::move(aOnListed)) {
  Register();
  List();
}

void NodeRegistry::Drain() {
  m_draining = true;
  m_leaseTimer.reset();
  Register();
}

std::string NodeRegistry::RegistrationValue() const {
  return base::DumpJson({ { "node", m_settings.m_name.Text() },
                          { "incarnation", m_incarnation.Text() },
                          { "zone", m_settings.m_zone.Text() },
                          { "callers", m_settings.m_callerAddress.ToText() },
                          { "peers", m_settings.m_fleet.m_peerAddress.ToText() },
                          { "draining", m_draining } });
}

void NodeRegistry::Register() {
  m_store.GrantLease(kLeaseDuration, [this](const std::optional<std::string>& aLease) {
    if (!aLease) {
      m_leaseTimer = m_loop.After(kRetryDelay, [this] { Register(); });
      return;
    }
    m_lease = *aLease;
    m_store.Read(kPrefix + m_settings.m_name.Text(), [this](const auto& aResult) {
      if (!aResult) {
        m_leaseTimer = m_loop.After(kRetryDelay, [this] { Register(); });
        return;
      }
      WriteRegistration(aResult->m_version);
    });
  });
}

void NodeRegistry::WriteRegistration(uint64_t aVersion) {
  m_store.CompareAndSwap(kPrefix + m_settings.m_name.Text(),
                         RegistrationValue(),
                         aVersion,
                         m_lease,
                         [this](const auto& aResult) {
                           // A lost answer is handled as a failure: writing the registration again
                           // is idempotent.
                           const base::Millis delay = aResult ? kRenewPeriod : kRetryDelay;
                           m_leaseTimer =
                             m_loop.After(delay, [this, isWritten = aResult.has_value()] {
                               isWritten ? RenewLease() : Register();
                             });
                         });
}

void NodeRegistry::RenewLease() {
  m_store.RenewLease(m_lease, [this](bool aRenewed) {
    m_leaseTimer = m_loop.After(aRenewed ? kRenewPeriod : kRetryDelay,
                                [this, aRenewed] { aRenewed ? RenewLease() : Register(); });
  });
}

void NodeRegistry::List() {
  m_store.List(kPrefix, [this](const auto& aEntries) {
    if (aEntries) {
      std::vector<tasks::Member> members;
      for (const auto& entry : *aEntries) {
        const nlohmann::json value = base::ParseJson(entry.m_value);
        tasks::Member member;
        member.m_node = base::NodeId(base::ValueOr(value, "node", std::string()));
        member.m_incarnation =
          base::IncarnationId(base::ValueOr(value, "incarnation", std::string()));
        member.m_zone = base::ZoneId(base::ValueOr(value, "zone", std::string()));
        member.m_callerAddress =
          base::Address::Parse(base::ValueOr(value, "callers", std::string()));
        member.m_peerAddress = base::Address::Parse(base::ValueOr(value, "peers", std::string()));
        member.m_state = base::ValueOr(value, "draining", false) ? tasks::MemberState::Draining
                                                                 : tasks::MemberState::Alive;
        if (!member.m_node.Empty()) {
          members.push_back(std::move(member));
        }
      }
      m_onListed(std::move(members));
    }
    // Lists often at first, until the nodes have discovered each other, then only as a backstop.
    ++m_listCount;
    const base::Millis delay =
      m_listCount < kEarlyListCount ? kRetryDelay : m_settings.m_platform.m_backstopPeriod;
    m_listTimer = m_loop.After(delay, [this] { List(); });
  });
}

} // namespace papayafield::node
