#pragma once

#include "adapters/http/HttpServer.h"
#include "base/Json.h"
#include "base/Time.h"

#include <deque>
#include <map>
#include <string>

namespace papayafield::standins {

/// Cloud API of the platform stand-in. The host list lags behind the actual state, and a start
/// takes a host from a pool of processes that the test provides.
class Cloud {
public:
  /// Creates a cloud whose host list lags by `aLag`.
  explicit Cloud(base::Millis aLag);

  /// Handles a call to /hosts or below /cloud/.
  void Handle(const adapters::http::ExchangePtr& aExchange);
  /// Handles a test's call to /control/hosts or /control/pool.
  void HandleControl(const adapters::http::ExchangePtr& aExchange);
  /// Sets the faults named in `aFaults` and keeps the others.
  void SetFaults(const nlohmann::json& aFaults);

private:
  struct Snapshot {
    base::TimePoint m_recordedAt;
    nlohmann::json m_hosts;
  };

  const nlohmann::json& VisibleHosts();
  void ListHosts(const adapters::http::ExchangePtr& aExchange);
  void StartHost(const adapters::http::ExchangePtr& aExchange);
  void StopHost(const std::string& aName);
  void UpdateHost(const nlohmann::json& aHost);

  base::Millis m_lag;
  std::deque<Snapshot> m_snapshots;
  bool m_isUnavailable = false;
  bool m_rejectStarts = false;
  int m_startResponsesToDrop = 0;
  /// Hosts that are available to be started.
  std::deque<nlohmann::json> m_pool;
  /// Hosts by the token that started them.
  std::map<std::string, nlohmann::json> m_hostsByToken;
  adapters::http::ExchangePtr m_unanswered;
};

} // namespace papayafield::standins
