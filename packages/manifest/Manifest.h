#pragma once

#include "base/EnumNames.h"
#include "base/Findings.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace papayafield::manifest {

/// Priority class of queued requests.
enum class Priority { Urgent, Normal, Background };

/// A team that sends requests, with its priority and service level targets.
struct Team {
  base::TeamId m_name;
  /// Weight in sharing a deployment among teams of the same priority.
  double m_weight = 1;
  Priority m_priority = Priority::Normal;
  /// Target for the time to first token.
  base::Millis m_firstTokenTarget{ 1800 };
  /// Target for the time between tokens.
  base::Millis m_tokenGapTarget{ 80 };
  /// Maximum time in the queue before a request is rejected.
  base::Millis m_maxWait{ 30000 };
  /// Maximum number of queued requests at one node.
  size_t m_maxQueued = 256;
  /// SHA-256 digests of the team's keys, in hexadecimal digits.
  std::vector<std::string> m_keyDigests;
};

/// A model with an adapter and a version that is served by model engines.
struct Deployment {
  /// Name, which clients send as `model`.
  base::DeploymentId m_name;
  std::string m_model;
  /// Adapter; empty if there is none.
  std::string m_adapter;
  std::string m_version;
  /// Whether its engines reject an order with an outdated fencing token.
  bool m_checksFencing = true;
  /// Maximum number of tokens in a response.
  uint32_t m_maxOutputTokens = 1024;
  /// Minimum number of hosts.
  uint32_t m_minHosts = 0;
  /// Names of the teams that may use it; nullopt for all.
  std::optional<std::vector<base::TeamId>> m_teams;

  /// Returns whether the team `aTeam` may use it. Thread safe.
  bool Admits(const base::TeamId& aTeam) const;
};

/// A route of a plain service.
struct ServiceCall {
  std::string m_method;
  /// Prefix of the path below `/services/NAME`.
  std::string m_path;
  /// Whether a call may safely be retried.
  bool m_repeatable = false;
  /// Timeout of a call.
  base::Millis m_timeout{ 10000 };
};

/// A plain HTTP service that is not a model engine.
struct Service {
  /// Name in the request path.
  base::DeploymentId m_name;
  /// Routes; the first that matches applies. A call that matches none is not retried.
  std::vector<ServiceCall> m_calls;
  /// Names of the teams that may use it; nullopt for all.
  std::optional<std::vector<base::TeamId>> m_teams;

  /// Returns whether the team `aTeam` may use it. Thread safe.
  bool Admits(const base::TeamId& aTeam) const;
};

/// A limit on spending in one availability zone for one host class.
struct Budget {
  base::ZoneId m_zone;
  std::string m_class;
  int64_t m_maxCentsPerHour = 0;
};

/// The configuration written by operators.
struct Manifest {
  /// Retention time of a claimed idempotency key.
  base::Millis m_claimRetention{ 24LL * 3600 * 1000 };
  std::vector<Team> m_teams;
  std::vector<Deployment> m_deployments;
  std::vector<Service> m_services;
  std::vector<Budget> m_budgets;

  /// Returns the team named `aName`, or null.
  const Team* FindTeam(const base::TeamId& aName) const;
  /// Returns the team that has a key with the SHA-256 `aDigest`, or null.
  const Team* FindTeamByKeyDigest(const std::string& aDigest) const;
  /// Returns the deployment named `aName`, or null.
  const Deployment* FindDeployment(const base::DeploymentId& aName) const;
  /// Returns the service named `aName`, or null.
  const Service* FindService(const base::DeploymentId& aName) const;
};

/// Returns the first route of `aService` that matches, or a route that is not repeatable if none
/// matches.
ServiceCall FindCall(const Service& aService, const std::string& aMethod, const std::string& aPath);

/// Parses and validates a manifest. Returns all findings if there are any. Thread safe.
tl::expected<Manifest, base::Findings> ParseManifest(const std::string& aFile,
                                                     const std::string& aText);

} // namespace papayafield::manifest

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<manifest::Priority> = std::to_array<EnumName<manifest::Priority>>({
  { manifest::Priority::Urgent, "urgent" },
  { manifest::Priority::Normal, "normal" },
  { manifest::Priority::Background, "background" },
});

} // namespace papayafield::base
