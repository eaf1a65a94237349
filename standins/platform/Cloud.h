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
  void Control(const adapters::http::ExchangePtr& aExchange);
  /// Sets the faults named in `aFaults` and keeps the others.
  void SetFaults(const nlohmann::json& aFaults);

private:
  struct State {
    base::TimePoint m_since;
    nlohmann::json m_hosts;
  };

  const nlohmann::json& Shown();
  void List(const adapters::http::ExchangePtr& aExchange);
  void Start(const adapters::http::ExchangePtr& aExchange);
  void Stop(const std::string& aName);
  void Patch(const nlohmann::json& aHost);

  base::Millis m_lag;
  std::deque<State> m_states;
  bool m_down = false;
  bool m_refuseStarts = false;
  int m_loseStartAnswers = 0;
  /// Hosts that are available to be started.
  std::deque<nlohmann::json> m_pool;
  /// Hosts by the token that started them.
  std::map<std::string, nlohmann::json> m_byToken;
  adapters::http::ExchangePtr m_unanswered;
};

} // namespace papayafield::standins
