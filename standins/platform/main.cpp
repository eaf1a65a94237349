#include "base/Digest.h"
#include "standins/common/Arguments.h"
#include "standins/common/StandinServer.h"
#include "standins/platform/KeyValueStore.h"

#include <deque>

/// \file
/// Stand-in for the platform: the key-value service and the cloud's lagging host list, with
/// switches below /control.

namespace {

using namespace papayafield;
using adapters::http::ExchangePtr;

/// The host list as tests set it, shown with a lag.
class HostList {
public:
  explicit HostList(base::Millis aLag)
    : m_lag(aLag) {}

  void Set(nlohmann::json aHosts) {
    m_states.push_back({ base::SteadyClock().Now(), std::move(aHosts) });
  }

  const nlohmann::json& Latest() const { return m_states.back().m_hosts; }

  const nlohmann::json& Shown() {
    while (m_states.size() > 1 && base::SteadyClock().Now() - m_states[1].m_since >= m_lag) {
      m_states.pop_front();
    }
    return m_states.front().m_hosts;
  }

private:
  struct State {
    base::TimePoint m_since;
    nlohmann::json m_hosts;
  };

  base::Millis m_lag;
  std::deque<State> m_states{ { base::TimePoint{}, nlohmann::json::array() } };
};

/// Changes the members of one host; a new name adds a host.
void PatchHost(HostList& aList, const nlohmann::json& aPatch) {
  nlohmann::json hosts = aList.Latest();
  for (auto& host : hosts) {
    if (host["name"] == aPatch["name"]) {
      host.update(aPatch);
      aList.Set(std::move(hosts));
      return;
    }
  }
  hosts.push_back(aPatch);
  aList.Set(std::move(hosts));
}

void RemoveHost(HostList& aList, const std::string& aName) {
  nlohmann::json kept = nlohmann::json::array();
  for (const auto& host : aList.Latest()) {
    if (host["name"] != aName) {
      kept.push_back(host);
    }
  }
  aList.Set(std::move(kept));
}

} // namespace

int main(int argc, char** argv) {
  const standins::Arguments arguments(
    argc, argv, { { "listen", "127.0.0.1:7000" }, { "hosts-lag-ms", "0" } });
  adapters::http::EventLoop loop;
  standins::KeyValueStore store(loop);
  HostList hosts(base::Millis(static_cast<int64_t>(arguments.Number("hosts-lag-ms"))));
  bool hostsDown = false;
  const bool served =
    standins::Serve(loop, arguments.Address("listen"), [&](const ExchangePtr& aCall) {
      const std::string& path = aCall->Path();
      const nlohmann::json body = base::ParseJson(aCall->Body());
      if (path == "/hosts") {
        if (hostsDown) {
          aCall->Reply(503, {}, "outage");
        } else {
          const std::string text = base::DumpJson(hosts.Shown());
          const std::string tag = "\"" + base::Sha256Hex(text).substr(0, 16) + "\"";
          if (aCall->RequestHeaders().Find("If-None-Match") == tag) {
            aCall->Reply(304, { { "ETag", tag } }, "");
          } else {
            aCall->Reply(200, { { "ETag", tag }, { "Content-Type", "application/json" } }, text);
          }
        }
      } else if (path == "/control/hosts" && aCall->Method() == "POST") {
        PatchHost(hosts, body);
        standins::ReplyJson(aCall, 200, hosts.Latest());
      } else if (path == "/control/hosts" && aCall->Method() == "DELETE") {
        RemoveHost(hosts, aCall->QueryValue("name").value_or(""));
        standins::ReplyJson(aCall, 200, hosts.Latest());
      } else if (path == "/control/faults") {
        standins::PlatformFaults& faults = store.Faults();
        faults.m_outage = base::ValueOr(body, "outage", faults.m_outage);
        faults.m_silent = base::ValueOr(body, "silent", faults.m_silent);
        faults.m_loseAnswers = base::ValueOr(body, "lose_answers", faults.m_loseAnswers);
        hostsDown = base::ValueOr(body, "hosts_down", hostsDown);
        standins::ReplyJson(aCall, 200, nlohmann::json::object());
      } else if (path == "/control/counts") {
        standins::ReplyJson(aCall, 200, store.Counts());
      } else {
        store.Handle(aCall);
      }
    });
  return served ? 0 : 1;
}
