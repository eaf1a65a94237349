#include "base/Digest.h"
#include "standins/common/Arguments.h"
#include "standins/common/StandinServer.h"

#include <list>
#include <map>

/// \file
/// Stand-in for a plain service: executes orders, counts how often each order ran, and answers
/// stock queries.

namespace {

using namespace papayafield;
using adapters::http::ExchangePtr;

/// Faults that a test injects. Each value is the number of further orders it affects.
struct ServiceFaults {
  /// The order runs, and the connection is closed without a response.
  int m_closeAfterRun = 0;
  /// The order does not run, and the connection is closed without a response.
  int m_closeBeforeRun = 0;
  /// The order does not run, and the response states this (503 with X-Not-Started).
  int m_notStarted = 0;
  /// The order runs, and the response is a server error (500).
  int m_serverError = 0;
  /// The order runs, and no response is sent.
  int m_silent = 0;
  /// The order runs, and the response carries the id of another attempt.
  int m_wrongAttemptId = 0;
};

bool ConsumeFault(int& aCount) {
  if (aCount <= 0) {
    return false;
  }
  --aCount;
  return true;
}

class Service {
public:
  Service(adapters::http::EventLoop& aLoop, base::Millis aProcessingTime)
    : m_loop(aLoop)
    , m_processingTime(aProcessingTime) {}

  void Handle(const ExchangePtr& aExchange) {
    const std::string& path = aExchange->Path();
    if (path == "/control/runs") {
      standins::ReplyJson(aExchange, 200, m_runsByOrder);
    } else if (path == "/control/faults") {
      SetFaults(base::ParseJson(aExchange->Body()));
      standins::ReplyJson(aExchange, 200, nlohmann::json::object());
    } else if (aExchange->Method() == "GET") {
      standins::ReplyJson(
        aExchange, 200, { { "stock", base::Hash64(path) % 100 }, { "path", path } });
    } else {
      HandleOrder(aExchange);
    }
  }

private:
  void SetFaults(const nlohmann::json& aBody) {
    m_faults.m_closeAfterRun = base::ValueOr(aBody, "close_after_run", 0);
    m_faults.m_closeBeforeRun = base::ValueOr(aBody, "close_before_run", 0);
    m_faults.m_notStarted = base::ValueOr(aBody, "not_started", 0);
    m_faults.m_serverError = base::ValueOr(aBody, "server_error", 0);
    m_faults.m_silent = base::ValueOr(aBody, "silent", 0);
    m_faults.m_wrongAttemptId = base::ValueOr(aBody, "crossed", 0);
  }

  void HandleOrder(const ExchangePtr& aExchange) {
    const std::string order =
      base::ValueOr(base::ParseJson(aExchange->Body()), "order", std::string("none"));
    const std::string attemptId = aExchange->RequestHeaders().Find("X-Attempt-Id").value_or("");
    if (ConsumeFault(m_faults.m_closeBeforeRun)) {
      aExchange->Abort();
      return;
    }
    if (ConsumeFault(m_faults.m_notStarted)) {
      aExchange->Reply(503, { { "X-Not-Started", "1" } }, "");
      return;
    }
    const int run = ++m_runsByOrder[order];
    if (ConsumeFault(m_faults.m_closeAfterRun)) {
      aExchange->Abort();
      return;
    }
    if (ConsumeFault(m_faults.m_silent)) {
      m_unansweredOrders.push_back(aExchange);
      return;
    }
    if (ConsumeFault(m_faults.m_serverError)) {
      aExchange->Reply(500, { { "X-Attempt-Id", attemptId } }, "");
      return;
    }
    const std::string responseAttemptId =
      ConsumeFault(m_faults.m_wrongAttemptId) ? "someone-else" : attemptId;
    const std::string body = base::DumpJson({ { "order", order }, { "run", run } });
    auto reply = [aExchange, responseAttemptId, body] {
      aExchange->Reply(
        201,
        { { "Content-Type", "application/json" }, { "X-Attempt-Id", responseAttemptId } },
        body);
    };
    m_timers.push_back(m_loop.After(m_processingTime, reply));
    constexpr size_t kMaxTimers = 4096;
    if (m_timers.size() > kMaxTimers) {
      m_timers.pop_front();
    }
  }

  adapters::http::EventLoop& m_loop;
  base::Millis m_processingTime;
  ServiceFaults m_faults;
  std::map<std::string, int> m_runsByOrder;
  std::list<ExchangePtr> m_unansweredOrders;
  std::list<adapters::http::EventHandlePtr> m_timers;
};

} // namespace

int main(int argc, char** argv) {
  const standins::Arguments arguments(
    argc, argv, { { "listen", "127.0.0.1:7200" }, { "work-ms", "5" } });
  adapters::http::EventLoop loop;
  Service service(loop, base::Millis(static_cast<int64_t>(arguments.Number("work-ms"))));
  const bool served =
    standins::Serve(loop, arguments.Address("listen"), [&](const ExchangePtr& aExchange) {
      service.Handle(aExchange);
    });
  return served ? 0 : 1;
}
