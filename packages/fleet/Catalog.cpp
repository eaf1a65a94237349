#include "fleet/Catalog.h"

#include <algorithm>

namespace papayafield::fleet {

Catalog::Catalog(Contents aContents)
  : m_contents(std::move(aContents)) {
  for (const Route& route : m_contents.m_routes) {
    m_routesByHost[route.m_host].push_back(&route);
  }
  for (auto& [host, routes] : m_routesByHost) {
    std::sort(routes.begin(), routes.end(), [](const Route* aLeft, const Route* aRight) {
      return aLeft->m_prefix.size() > aRight->m_prefix.size();
    });
  }
  for (const Team& team : m_contents.m_teams) {
    for (const std::string& key : team.m_keys) {
      m_teamsByKey.emplace(key, &team);
    }
  }
}

const Route* Catalog::FindRoute(std::string_view aHost, std::string_view aPath) const {
  const auto found = m_routesByHost.find(std::string(aHost));
  if (found == m_routesByHost.end()) {
    return nullptr;
  }
  for (const Route* route : found->second) {
    if (aPath.starts_with(route->m_prefix)) {
      return route;
    }
  }
  return nullptr;
}

const Team* Catalog::FindTeam(const std::string& aKey) const {
  const auto found = m_teamsByKey.find(aKey);
  return found == m_teamsByKey.end() ? nullptr : found->second;
}

const Service* Catalog::FindService(const ServiceId& aService) const {
  for (const Service& service : m_contents.m_services) {
    if (service.m_id == aService) {
      return &service;
    }
  }
  return nullptr;
}

} // namespace papayafield::fleet
