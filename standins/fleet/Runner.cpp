#include "standins/fleet/Runner.h"

namespace papayafield::standins {

using adapters::http1::EncodeChunk;
using adapters::http1::EndKind;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;
using adapters::http1::ServerConnection;

namespace {

constexpr size_t kMaxHeadBytes = 65536;
/// Processing time of one call.
constexpr base::Millis kProcessingTime{ 10 };
/// Delay between two events of a stream.
constexpr base::Millis kEventInterval{ 15 };
/// Delay between two events of a stream in the mode SlowStreams.
constexpr base::Millis kSlowEventInterval{ 550 };

std::string HeaderValue(const RequestHead& aHead, const char* aName) {
  return std::string(aHead.m_fields.Find(aName).value_or(std::string_view{}));
}

std::string EventText(int aNumber, bool aWithId) {
  const std::string number = std::to_string(aNumber);
  return (aWithId ? "id: " + number + "\n" : "") + "data: piece " + number + "\n\n";
}

/// Returns the number of the first event of a stream that is requested after the event `aLast`.
int FirstEvent(RunnerMode aMode, int aLast) {
  if (aMode == RunnerMode::RestartStreams) {
    return 1;
  }
  return aLast + (aMode == RunnerMode::SkipEvents && aLast > 0 ? 2 : 1);
}

} // namespace

struct Runner::CallerConnection {
  std::shared_ptr<ServerConnection> m_connection;
  RequestHead m_head;
  adapters::http::EventHandlePtr m_timer;
  /// True from a complete request until its response is complete.
  bool m_inProgress = false;
  /// Attempt id of the previous call on this connection; empty if there was none.
  std::string m_previousId;

  ResponseHead MakeRejectionHead(int aStatus, const std::string& aAttemptId) const {
    ResponseHead head;
    head.m_status = aStatus;
    if (!aAttemptId.empty()) {
      head.m_fields.Add("Papayafield-Attempt-Id", aAttemptId);
    }
    head.m_fields.Add("Papayafield-Not-Executed", "1");
    return head;
  }

  ResponseHead MakeResponseHead(int aStatus, const std::string& aRunner) const {
    ResponseHead head;
    head.m_status = aStatus;
    head.m_fields.Add("Papayafield-Attempt-Id", HeaderValue(m_head, "Papayafield-Attempt-Id"));
    head.m_fields.Add("Papayafield-Response-Signature", "signed-by-" + aRunner);
    return head;
  }

  void SendResponse(ResponseHead aHead, const std::string& aBody) {
    m_inProgress = false;
    aHead.m_fields.Add("Content-Length", std::to_string(aBody.size()));
    m_connection->Write(adapters::http1::Serialize(aHead) + aBody);
    m_connection->Resume();
  }
};

Runner::Runner(adapters::http::EventLoop& aLoop,
               const base::Address& aAddress,
               std::string aId,
               CallLog& aCallLog)
  : m_loop(aLoop)
  , m_address(aAddress)
  , m_id(std::move(aId))
  , m_callLog(aCallLog)
  , m_listener(aLoop, aAddress, kMaxHeadBytes, [this](auto aConnection) {
    AcceptConnection(std::move(aConnection));
  }) {}

void Runner::AcceptConnection(std::shared_ptr<ServerConnection> aConnection) {
  auto callerConnection = std::make_shared<CallerConnection>();
  callerConnection->m_connection = std::move(aConnection);
  m_callerConnections.insert(callerConnection);
  const std::weak_ptr<CallerConnection> weak = callerConnection;
  ServerConnection::Events events;
  events.m_onHead = [weak](RequestHead&& aHead) {
    if (const auto locked = weak.lock()) {
      locked->m_head = std::move(aHead);
    }
  };
  events.m_onComplete = [this, weak] {
    if (const auto locked = weak.lock()) {
      locked->m_inProgress = true;
      locked->m_timer = m_loop.After(kProcessingTime, [this, weak] {
        if (const auto active = weak.lock()) {
          Respond(active);
        }
      });
    }
  };
  events.m_onEnd = [this, weak](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (const auto locked = weak.lock()) {
      locked->m_timer.reset();
      if (locked->m_inProgress) {
        m_callLog.m_interruptedCalls.push_back(
          HeaderValue(locked->m_head, "Papayafield-Attempt-Id"));
      }
      m_callerConnections.erase(locked);
    }
  };
  callerConnection->m_connection->SetEvents(std::move(events));
}

void Runner::Respond(const std::shared_ptr<CallerConnection>& aCallerConnection) {
  if (m_mode == RunnerMode::Hang) {
    return;
  }
  if (HeaderValue(aCallerConnection->m_head, "Papayafield-Target-Instance") != m_id) {
    ResponseHead head = aCallerConnection->MakeRejectionHead(
      421, HeaderValue(aCallerConnection->m_head, "Papayafield-Attempt-Id"));
    head.m_fields.Add("Papayafield-Instance-Id", m_id);
    aCallerConnection->SendResponse(head, "");
    return;
  }
  const std::string attemptId = HeaderValue(aCallerConnection->m_head, "Papayafield-Attempt-Id");
  if (m_mode == RunnerMode::Shed || m_mode == RunnerMode::ShedWithoutId) {
    aCallerConnection->SendResponse(
      aCallerConnection->MakeRejectionHead(503, m_mode == RunnerMode::Shed ? attemptId : ""), "");
    return;
  }
  const std::string previousId = std::exchange(aCallerConnection->m_previousId, attemptId);
  const bool repeatsId = m_mode == RunnerMode::RepeatRejection;
  if (!previousId.empty() && (repeatsId || m_mode == RunnerMode::RepeatRejectionWithoutId)) {
    ResponseHead head =
      aCallerConnection->MakeRejectionHead(503, repeatsId ? previousId : std::string());
    head.m_fields.Add("Content-Length", "0");
    aCallerConnection->m_connection->Write(adapters::http1::Serialize(head));
  }
  const std::string lastEventId = HeaderValue(aCallerConnection->m_head, "Last-Event-Id");
  m_callLog.m_executedCalls.push_back(
    { attemptId, m_id, HeaderValue(aCallerConnection->m_head, "Papayafield-Tenant"), lastEventId });
  if (m_mode == RunnerMode::DropResponses) {
    m_callerConnections.erase(aCallerConnection);
    aCallerConnection->m_connection->Close();
  } else if (m_mode == RunnerMode::Fail) {
    aCallerConnection->SendResponse(aCallerConnection->MakeResponseHead(500, m_id), "failed");
  } else if (aCallerConnection->m_head.m_target.starts_with("/stream/") &&
             m_mode != RunnerMode::PlainStreams) {
    ResponseHead head = aCallerConnection->MakeResponseHead(200, m_id);
    head.m_fields.Add("Content-Type", "text/event-stream");
    head.m_fields.Add("Transfer-Encoding", "chunked");
    if (m_mode == RunnerMode::ContradictStreams) {
      head.m_fields.Add("Papayafield-Not-Executed", "1");
    }
    aCallerConnection->m_connection->Write(adapters::http1::Serialize(head));
    SendNextEvent(aCallerConnection, FirstEvent(m_mode, std::atoi(lastEventId.c_str())));
  } else {
    aCallerConnection->SendResponse(aCallerConnection->MakeResponseHead(200, m_id),
                                    "answer to " + aCallerConnection->m_head.m_target);
  }
}

void Runner::SendNextEvent(const std::shared_ptr<CallerConnection>& aCallerConnection, int aEvent) {
  if (aEvent > kEventsPerStream) {
    aCallerConnection->m_inProgress = false;
    aCallerConnection->m_connection->Write("0\r\n\r\n");
    aCallerConnection->m_connection->Resume();
    return;
  }
  const std::string event = EventText(aEvent, m_mode != RunnerMode::TruncateUnnumberedStreams);
  const bool truncates =
    m_mode == RunnerMode::TruncateStreams || m_mode == RunnerMode::TruncateUnnumberedStreams;
  if (truncates && aEvent == kEventsPerStream / 2) {
    aCallerConnection->m_connection->Write(EncodeChunk(event.substr(0, event.size() / 2)));
    aCallerConnection->m_connection->CloseWhenFlushed();
    m_callerConnections.erase(aCallerConnection);
    return;
  }
  if (m_mode == RunnerMode::StallStreams && aEvent > kEventsPerStream / 2) {
    return;
  }
  aCallerConnection->m_connection->Write(EncodeChunk(event));
  const base::Millis interval =
    m_mode == RunnerMode::SlowStreams ? kSlowEventInterval : kEventInterval;
  aCallerConnection->m_timer =
    m_loop.After(interval, [this, weak = std::weak_ptr(aCallerConnection), aEvent] {
      if (const auto callerConnection = weak.lock()) {
        SendNextEvent(callerConnection, aEvent + 1);
      }
    });
}

} // namespace papayafield::standins
