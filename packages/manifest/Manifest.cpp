#include "manifest/Manifest.h"

#include "settings/TomlTable.h"

#include <algorithm>
#include <set>

namespace papayafield::manifest {

namespace {

using base::Millis;
using settings::Presence;
using settings::TomlTable;

constexpr Millis kHour{ 3600LL * 1000 };
constexpr size_t kSha256HexLength = 64;

/// Adds a finding for each duplicate name.
class DuplicateNameChecker {
public:
  void Check(TomlTable& aTable, const std::string& aKind, const std::string& aName) {
    if (!aName.empty() && !m_seenNames.insert(aName).second) {
      aTable.AddFinding("name", "the " + aKind + " '" + aName + "' stands twice");
    }
  }

private:
  std::set<std::string> m_seenNames;
};

std::optional<std::vector<base::TeamId>> ReadTeamNames(TomlTable& aTable,
                                                       const Manifest& aManifest) {
  std::vector<base::TeamId> teams;
  const bool admitsAll = !aTable.Has("teams");
  for (const std::string& name : aTable.StringList("teams")) {
    teams.emplace_back(name);
    if (aManifest.FindTeam(teams.back()) == nullptr) {
      aTable.AddFinding("teams", "there is no team '" + name + "'");
    }
  }
  return admitsAll ? std::nullopt : std::optional(std::move(teams));
}

Team ReadTeam(TomlTable& aTable) {
  Team team;
  team.m_name = base::TeamId(aTable.Text("name", Presence::Required));
  team.m_weight = aTable.Number("weight", 0.01, 10000, team.m_weight);
  const std::string priority =
    aTable.OneOf("priority", { "urgent", "normal", "background" }, "normal");
  team.m_priority = base::ParseEnum<Priority>(priority).value_or(Priority::Normal);
  team.m_firstTokenTarget =
    aTable.Duration("first_token", Millis(1), kHour, team.m_firstTokenTarget);
  team.m_tokenGapTarget = aTable.Duration("token_gap", Millis(1), kHour, team.m_tokenGapTarget);
  team.m_maxWait = aTable.Duration("max_wait", Millis(1), kHour, team.m_maxWait);
  team.m_maxQueued = static_cast<size_t>(
    aTable.Integer("max_queued", 0, 1000000, static_cast<int64_t>(team.m_maxQueued)));
  team.m_keyDigests = aTable.StringList("key_digests");
  for (const std::string& digest : team.m_keyDigests) {
    if (digest.size() != kSha256HexLength ||
        digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
      aTable.AddFinding("key_digests",
                        "each key digest must be a SHA-256 in 64 lower-case hexadecimal digits");
    }
  }
  aTable.ReportUnknownKeys();
  return team;
}

Deployment ReadDeployment(TomlTable& aTable, const Manifest& aManifest) {
  Deployment deployment;
  deployment.m_name = base::DeploymentId(aTable.Text("name", Presence::Required));
  deployment.m_model = aTable.Text("model", Presence::Required);
  deployment.m_adapter = aTable.Text("adapter", Presence::Optional);
  deployment.m_version = aTable.Text("version", Presence::Required);
  deployment.m_checksFencing = aTable.Boolean("checks_fencing", deployment.m_checksFencing);
  deployment.m_maxOutputTokens = static_cast<uint32_t>(
    aTable.Integer("max_output_tokens", 1, 1000000, deployment.m_maxOutputTokens));
  deployment.m_minHosts =
    static_cast<uint32_t>(aTable.Integer("least_hosts", 0, 100000, deployment.m_minHosts));
  deployment.m_teams = ReadTeamNames(aTable, aManifest);
  aTable.ReportUnknownKeys();
  return deployment;
}

Service ReadService(TomlTable& aTable, const Manifest& aManifest) {
  Service service;
  service.m_name = base::DeploymentId(aTable.Text("name", Presence::Required));
  service.m_teams = ReadTeamNames(aTable, aManifest);
  for (TomlTable& callTable : aTable.Children("call")) {
    ServiceCall call;
    call.m_method = callTable.OneOf("method", { "GET", "POST", "PUT", "DELETE", "PATCH" }, "POST");
    call.m_path = callTable.Text("path", Presence::Required);
    if (!call.m_path.empty() && call.m_path.front() != '/') {
      callTable.AddFinding("path", "the path of a call must start with '/'");
    }
    call.m_repeatable = callTable.Boolean("repeatable", false);
    call.m_timeout = callTable.Duration("timeout", Millis(10), kHour, call.m_timeout);
    callTable.ReportUnknownKeys();
    service.m_calls.push_back(call);
  }
  aTable.ReportUnknownKeys();
  return service;
}

Budget ReadBudget(TomlTable& aTable) {
  Budget budget;
  budget.m_zone = base::ZoneId(aTable.Text("zone", Presence::Required));
  budget.m_class = aTable.Text("class", Presence::Required);
  budget.m_maxCentsPerHour = aTable.Integer("max_cents_per_hour", 0, 1LL << 40, 0);
  aTable.ReportUnknownKeys();
  return budget;
}

bool IsAdmitted(const std::optional<std::vector<base::TeamId>>& aTeams, const base::TeamId& aTeam) {
  return !aTeams || std::find(aTeams->begin(), aTeams->end(), aTeam) != aTeams->end();
}

template<class Item, class Name>
const Item* FindByName(const std::vector<Item>& aItems, const Name& aName) {
  const auto found = std::find_if(
    aItems.begin(), aItems.end(), [&](const Item& aItem) { return aItem.m_name == aName; });
  return found == aItems.end() ? nullptr : &*found;
}

} // namespace

bool Deployment::Admits(const base::TeamId& aTeam) const {
  return IsAdmitted(m_teams, aTeam);
}

bool Service::Admits(const base::TeamId& aTeam) const {
  return IsAdmitted(m_teams, aTeam);
}

const Team* Manifest::FindTeam(const base::TeamId& aName) const {
  return FindByName(m_teams, aName);
}

const Team* Manifest::FindTeamByKeyDigest(const std::string& aDigest) const {
  for (const Team& team : m_teams) {
    const auto& digests = team.m_keyDigests;
    if (std::find(digests.begin(), digests.end(), aDigest) != digests.end()) {
      return &team;
    }
  }
  return nullptr;
}

const Deployment* Manifest::FindDeployment(const base::DeploymentId& aName) const {
  return FindByName(m_deployments, aName);
}

const Service* Manifest::FindService(const base::DeploymentId& aName) const {
  return FindByName(m_services, aName);
}

ServiceCall FindCall(const Service& aService,
                     const std::string& aMethod,
                     const std::string& aPath) {
  for (const ServiceCall& call : aService.m_calls) {
    if (call.m_method == aMethod && aPath.starts_with(call.m_path)) {
      return call;
    }
  }
  return { aMethod, aPath, false, ServiceCall{}.m_timeout };
}

tl::expected<Manifest, base::Findings> ParseManifest(const std::string& aFile,
                                                     const std::string& aText) {
  settings::TomlDocument document(aFile, aText);
  if (!document.AllFindings().Empty()) {
    return tl::unexpected(document.AllFindings());
  }
  Manifest manifest;
  TomlTable root = document.Root();
  constexpr int kFormatVersion = 1;
  root.Integer("format", kFormatVersion, kFormatVersion, kFormatVersion);
  manifest.m_claimRetention =
    root.Duration("claim_retention", Millis(1000), kHour * 24 * 30, manifest.m_claimRetention);
  // Teams are read first, since deployments and services refer to them.
  DuplicateNameChecker teamNames;
  for (TomlTable& table : root.Children("team")) {
    manifest.m_teams.push_back(ReadTeam(table));
    teamNames.Check(table, "team", manifest.m_teams.back().m_name.Text());
  }
  DuplicateNameChecker targetNames;
  for (TomlTable& table : root.Children("deployment")) {
    manifest.m_deployments.push_back(ReadDeployment(table, manifest));
    targetNames.Check(table, "deployment", manifest.m_deployments.back().m_name.Text());
  }
  for (TomlTable& table : root.Children("service")) {
    manifest.m_services.push_back(ReadService(table, manifest));
    targetNames.Check(table, "service", manifest.m_services.back().m_name.Text());
  }
  for (TomlTable& table : root.Children("budget")) {
    manifest.m_budgets.push_back(ReadBudget(table));
  }
  root.ReportUnknownKeys();
  if (!document.AllFindings().Empty()) {
    return tl::unexpected(document.AllFindings());
  }
  return manifest;
}

} // namespace papayafield::manifest
