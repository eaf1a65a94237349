#pragma once

#include "adapters/http/HttpServer.h"
#include "base/Json.h"
#include "base/Time.h"

#include <deque>
#include <map>
#include <string>

namespace papayafield::standins {

/// The cloud part of the platform stand-in: a lagging host list, and hosts that are started from a
/// pool of processes which a test keeps ready.
class Cloud {
public:
  /// A cloud whose list lags by `aLag`.
  explicit Cloud(base::Millis aLag);

  /// Answers a call below /hosts or /cloud.
  void Handle(const adapters::http::ExchangePtr& aExchange);
  /// Answers a test's call below /control/hosts.
  void Control(const adapters::http::ExchangePtr& aExchange);
  /// Sets switches that a test sends.
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
  /// Hosts ready to be started.
  std::deque<nlohmann::json> m_pool;
  /// Hosts by the token that started them.
  std::map<std::string, nlohmann::json> m_byToken;
  adapters::http::ExchangePtr m_unanswered;
};

} // namespace papayafield::standins
