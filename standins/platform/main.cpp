#include "standins/common/Arguments.h"
#include "standins/common/StandinServer.h"
#include "standins/platform/Cloud.h"
#include "standins/platform/KeyValueStore.h"

#include <algorithm>

/// \file
/// Stand-in for the platform: key-value store, cloud API and weight store. Tests inject faults
/// below /control/.

namespace {

using namespace papayafield;
using adapters::http::ExchangePtr;

/// Serves weight downloads at a limited rate (token bucket with a burst of one).
class WeightStore {
public:
  explicit WeightStore(double aRefillPerSecond)
    : m_refillPerSecond(aRefillPerSecond) {}

  void Handle(const ExchangePtr& aExchange) {
    const base::TimePoint now = base::SteadyClock().Now();
    const std::chrono::duration<double> elapsed = now - m_lastRefill;
    m_lastRefill = now;
    m_availableTokens = std::min(1.0, m_availableTokens + elapsed.count() * m_refillPerSecond);
    if (m_availableTokens < 1) {
      aExchange->Reply(429, { { "Retry-After", "1" } }, "");
      return;
    }
    m_availableTokens -= 1;
    aExchange->Reply(200, {}, "");
  }

private:
  double m_refillPerSecond;
  double m_availableTokens = 1;
  base::TimePoint m_lastRefill = base::SteadyClock().Now();
};

} // namespace

int main(int argc, char** argv) {
  const standins::Arguments arguments(
    argc,
    argv,
    { { "listen", "127.0.0.1:7000" }, { "hosts-lag-ms", "0" }, { "weights-per-s", "1" } });
  adapters::http::EventLoop loop;
  standins::KeyValueStore store(loop);
  standins::Cloud cloud(base::Millis(static_cast<int64_t>(arguments.Number("hosts-lag-ms"))));
  WeightStore weights(arguments.Number("weights-per-s"));
  const bool served =
    standins::Serve(loop, arguments.Address("listen"), [&](const ExchangePtr& aCall) {
      const std::string& path = aCall->Path();
      if (path == "/hosts" || path.starts_with("/cloud/")) {
        cloud.Handle(aCall);
      } else if (path.starts_with("/weights/")) {
        weights.Handle(aCall);
      } else if (path == "/control/hosts" || path == "/control/pool") {
        cloud.HandleControl(aCall);
      } else if (path == "/control/faults") {
        const nlohmann::json body = base::ParseJson(aCall->Body());
        standins::PlatformFaults& faults = store.Faults();
        faults.m_outage = base::ValueOr(body, "outage", faults.m_outage);
        faults.m_silent = base::ValueOr(body, "silent", faults.m_silent);
        faults.m_writeResponsesToDrop =
          base::ValueOr(body, "lose_answers", faults.m_writeResponsesToDrop);
        cloud.SetFaults(body);
        standins::ReplyJson(aCall, 200, nlohmann::json::object());
      } else if (path == "/control/counts") {
        standins::ReplyJson(aCall, 200, store.Counts());
      } else {
        store.Handle(aCall);
      }
    });
  return served ? 0 : 1;
}
