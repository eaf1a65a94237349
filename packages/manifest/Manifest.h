#pragma once

#include "base/EnumNames.h"
#include "base/Findings.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace papayafield::manifest {

/// Which of two waiting requests goes first.
enum class Priority { Urgent, Normal, Background };

/// A team: who calls, and what it was promised.
struct Team {
  /// Its name.
  base::TeamId m_name;
  /// Its share of a deployment among teams of the same priority.
  double m_weight = 1;
  /// Its class.
  Priority m_priority = Priority::Normal;
  /// Target for the time to the first token.
  base::Millis m_firstToken{ 1800 };
  /// Target for the time between tokens.
  base::Millis m_tokenGap{ 80 };
  /// How long a request may wait for room before it is refused.
  base::Millis m_maxWait{ 30000 };
  /// Most requests waiting at one node.
  size_t m_maxQueued = 256;
  /// SHA-256 of its keys, in hexadecimal digits.
  std::vector<std::string> m_keyDigests;
};

/// A deployment: a model with an adapter and a version on model engines.
struct Deployment {
  /// Its name, which callers give as `model`.
  base::DeploymentId m_name;
  /// The model.
  std::string m_model;
  /// The adapter; empty for none.
  std::string m_adapter;
  /// The version.
  std::string m_version;
  /// Whether its engines refuse an order with an old fencing number.
  bool m_checksFencing = true;
  /// Most tokens that one answer may have.
  uint32_t m_maxOutputTokens = 1024;
  /// Hosts wanted at least.
  uint32_t m_leastHosts = 0;
  /// Names of the teams that may use it; empty for all.
  std::vector<base::TeamId> m_teams;
};

/// One kind of call of a plain service.
struct ServiceCall {
  /// HTTP method.
  std::string m_method;
  /// Start of the path below `/services/NAME`.
  std::string m_path;
  /// Whether it may be sent again.
  bool m_repeatable = false;
  /// How long the service may take.
  base::Millis m_timeout{ 10000 };
};

/// A plain service beside the model engines.
struct Service {
  /// Its name in the path.
  base::DeploymentId m_name;
  /// Its calls; the first that fits counts. A call that fits none is not repeatable.
  std::vector<ServiceCall> m_calls;
  /// Names of the teams that may use it; empty for all.
  std::vector<base::TeamId> m_teams;
};

/// A limit on spending in one availability zone for one host class.
struct Budget {
  /// Availability zone.
  base::ZoneId m_zone;
  /// Host class.
  std::string m_class;
  /// Most cents an hour.
  int64_t m_maxCentsPerHour = 0;
};

/// Everything that the operators want.
struct Manifest {
  /// How long a claimed idempotency key is remembered.
  base::Millis m_claimRetention{ 24LL * 3600 * 1000 };
  std::vector<Team> m_teams;
  std::vector<Deployment> m_deployments;
  std::vector<Service> m_services;
  std::vector<Budget> m_budgets;

  /// The team of that name, or null.
  const Team* FindTeam(const base::TeamId& aName) const;
  /// The team whose key has the SHA-256 `aDigest`, or null.
  const Team* FindTeamByKeyDigest(const std::string& aDigest) const;
  /// The deployment of that name, or null.
  const Deployment* FindDeployment(const base::DeploymentId& aName) const;
  /// The service of that name, or null.
  const Service* FindService(const base::DeploymentId& aName) const;
};

/// The entry of `aService` that fits, or a call that is not repeatable.
ServiceCall FindCall(const Service& aService, const std::string& aMethod, const std::string& aPath);

/// Reads and checks a manifest. All findings come together. Thread safe.
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
