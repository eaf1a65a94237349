#include "standins/fleet/Runner.h"

namespace papayafield::standins {

using adapters::http1::Chunk;
using adapters::http1::EndKind;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;
using adapters::http1::ServerConnection;

namespace {

constexpr size_t kMaxHead = 65536;
/// Processing time of one call.
constexpr base::Millis kWork{ 10 };
/// Delay between two events of a stream.
constexpr base::Millis kEventPause{ 15 };

std::string Field(const RequestHead& aHead, const char* aName) {
  return std::string(aHead.m_fields.Find(aName).value_or(std::string_view{}));
}

std::string EventText(int aNumber) {
  return "id: " + std::to_string(aNumber) + "\ndata: piece " + std::to_string(aNumber) + "\n\n";
}

} // namespace

struct Runner::Caller {
  std::shared_ptr<ServerConnection> m_connection;
  RequestHead m_head;
  adapters::http::WatchPtr m_timer;
  /// True from a complete request until its response is complete.
  bool m_working = false;

  ResponseHead MakeHead(int aStatus, const std::string& aRunner) const {
    ResponseHead head;
    head.m_status = aStatus;
    head.m_fields.Add("Papayafield-Attempt-Id", Field(m_head, "Papayafield-Attempt-Id"));
    head.m_fields.Add("Papayafield-Response-Signature", "signed-by-" + aRunner);
    return head;
  }

  void SendWhole(ResponseHead aHead, const std::string& aBody) {
    m_working = false;
    aHead.m_fields.Add("Content-Length", std::to_string(aBody.size()));
    m_connection->Write(adapters::http1::Serialize(aHead) + aBody);
    m_connection->Resume();
  }
};

Runner::Runner(adapters::http::EventLoop& aLoop,
               const base::Address& aAddress,
               std::string aId,
               Seen& aSeen)
  : m_loop(aLoop)
  , m_address(aAddress)
  , m_id(std::move(aId))
  , m_seen(aSeen)
  , m_listener(aLoop, aAddress, kMaxHead, [this](auto aConnection) {
    Take(std::move(aConnection));
  }) {}

void Runner::Take(std::shared_ptr<ServerConnection> aConnection) {
  auto caller = std::make_shared<Caller>();
  caller->m_connection = std::move(aConnection);
  m_callers.insert(caller);
  const std::weak_ptr<Caller> weak = caller;
  ServerConnection::Events events;
  events.m_onHead = [weak](RequestHead&& aHead) {
    if (const auto one = weak.lock()) {
      one->m_head = std::move(aHead);
    }
  };
  events.m_onComplete = [this, weak] {
    if (const auto one = weak.lock()) {
      one->m_working = true;
      one->m_timer = m_loop.After(kWork, [this, weak] {
        if (const auto working = weak.lock()) {
          Answer(working);
        }
      });
    }
  };
  events.m_onEnd = [this, weak](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (const auto one = weak.lock()) {
      one->m_timer.reset();
      if (one->m_working) {
        m_seen.m_cutOff.push_back(Field(one->m_head, "Papayafield-Attempt-Id"));
      }
      m_callers.erase(one);
    }
  };
  caller->m_connection->SetEvents(std::move(events));
}

void Runner::Answer(const std::shared_ptr<Caller>& aCaller) {
  if (m_mode == RunnerMode::Hang) {
    return;
  }
  if (Field(aCaller->m_head, "Papayafield-Target-Instance") != m_id) {
    ResponseHead head;
    head.m_status = 421;
    head.m_fields.Add("Papayafield-Instance-Id", m_id);
    aCaller->SendWhole(head, "");
    return;
  }
  if (m_mode == RunnerMode::Shed) {
    ResponseHead head;
    head.m_status = 503;
    head.m_fields.Add("Papayafield-Not-Executed", "1");
    aCaller->SendWhole(head, "");
    return;
  }
  const std::string last = Field(aCaller->m_head, "Last-Event-Id");
  m_seen.m_runs.push_back({ Field(aCaller->m_head, "Papayafield-Attempt-Id"),
                            m_id,
                            Field(aCaller->m_head, "Papayafield-Tenant"),
                            last });
  if (m_mode == RunnerMode::LoseAnswers) {
    m_callers.erase(aCaller);
    aCaller->m_connection->Close();
  } else if (m_mode == RunnerMode::Fail) {
    aCaller->SendWhole(aCaller->MakeHead(500, m_id), "failed");
  } else if (aCaller->m_head.m_target.starts_with("/stream/")) {
    ResponseHead head = aCaller->MakeHead(200, m_id);
    head.m_fields.Add("Content-Type", "text/event-stream");
    head.m_fields.Add("Transfer-Encoding", "chunked");
    aCaller->m_connection->Write(adapters::http1::Serialize(head));
    StreamNext(aCaller, std::atoi(last.c_str()) + 1);
  } else {
    aCaller->SendWhole(aCaller->MakeHead(200, m_id), "answer to " + aCaller->m_head.m_target);
  }
}

void Runner::StreamNext(const std::shared_ptr<Caller>& aCaller, int aEvent) {
  if (aEvent > kEvents) {
    aCaller->m_working = false;
    aCaller->m_connection->Write("0\r\n\r\n");
    aCaller->m_connection->Resume();
    return;
  }
  const std::string event = EventText(aEvent);
  if (m_mode == RunnerMode::Cut && aEvent == kEvents / 2) {
    aCaller->m_connection->Write(Chunk(event.substr(0, event.size() / 2)));
    aCaller->m_connection->CloseWhenFlushed();
    m_callers.erase(aCaller);
    return;
  }
  if (m_mode == RunnerMode::Stall && aEvent > kEvents / 2) {
    return;
  }
  aCaller->m_connection->Write(Chunk(event));
  aCaller->m_timer = m_loop.After(kEventPause, [this, weak = std::weak_ptr(aCaller), aEvent] {
    if (const auto caller = weak.lock()) {
      StreamNext(caller, aEvent + 1);
    }
  });
}

} // namespace papayafield::standins
