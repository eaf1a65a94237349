#include "standins/fleet/Runner.h"

namespace papayafield::standins {

using adapters::http1::EncodeChunk;
using adapters::http1::EndKind;
using adapters::http1::QueryParameter;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;
using adapters::http1::ServerConnection;

namespace {

constexpr size_t kMaxHeadBytes = 65536;
/// Time after which a call is rejected for want of room.
constexpr base::Millis kRejectionTime{ 1 };
/// Time in which rejections are counted.
constexpr base::Millis kRejectionWindow{ 1000 };
/// Delay between two events of a stream.
constexpr base::Millis kEventInterval{ 15 };
/// Delay between two events of a stream in the mode SlowStreams.
constexpr base::Millis kSlowEventInterval{ 550 };
/// Length of each silence of a stream in the mode PauseStreams.
constexpr base::Millis kPause{ 2000 };
/// Processing time of one call in the mode RespondLate.
constexpr base::Millis kLateProcessingTime{ 800 };

/// Minimum number of bytes written at once of a response without end.
constexpr size_t kEndlessPartBytes = 65536;

std::string HeaderValue(const RequestHead& aHead, const char* aName) {
  return std::string(aHead.m_fields.Find(aName).value_or(std::string_view{}));
}

std::string EventText(int aNumber, bool aWithId) {
  const std::string number = std::to_string(aNumber);
  return (aWithId ? "id: " + number + "\n" : "") + "data: piece " + number + "\n\n";
}

/// Delay between the last bytes of a truncated response and the reset of its connection, so that
/// the bytes are received before.
constexpr base::Millis kResetDelay{ 3 };

/// Replaces the first `aPlaceholder` in `aText`, if there is one, by `aValue`.
void Replace(std::string& aText, std::string_view aPlaceholder, const std::string& aValue) {
  if (const size_t at = aText.find(aPlaceholder); at != std::string::npos) {
    aText.replace(at, aPlaceholder.size(), aValue);
  }
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
  /// Whether the call occupies a slot.
  bool m_isRunning = false;
  /// True from a complete request until its response is complete.
  bool m_inProgress = false;
  /// Attempt id of the previous call on this connection; empty if there was none.
  std::string m_previousId;
  /// Sent each time all earlier bytes have been sent; empty if the response has an end.
  std::string m_endlessPart;

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
               CallLog& aCallLog,
               const DeadlyPart& aDeadlyPart,
               std::function<void()> aOnRestart)
  : m_loop(aLoop)
  , m_address(aAddress)
  , m_id(std::move(aId))
  , m_callLog(aCallLog)
  , m_deadlyPart(aDeadlyPart)
  , m_onRestart(std::move(aOnRestart)) {
  Listen();
}

void Runner::Listen() {
  m_listener = std::make_unique<adapters::http1::Listener>(
    m_loop, m_address, kMaxHeadBytes, [this](auto aConnection) {
      AcceptConnection(std::move(aConnection));
    });
}

/// Returns whether a part other than the last one, which belongs to the call alone, is deadly.
bool Runner::HasDeadlyPart(const RequestHead& aHead) const {
  const std::string parts = "," + HeaderValue(aHead, "Papayafield-Prefix-Hash");
  const std::string shared = parts.substr(0, parts.rfind(','));
  return !m_deadlyPart.m_id.empty() &&
         shared.find("," + m_deadlyPart.m_id + ":") != std::string::npos;
}

void Runner::RecordDeadlyCall(const RequestHead& aHead) {
  if (HasDeadlyPart(aHead)) {
    m_callLog.m_deadlyCalls.push_back(
      { m_id, HeaderValue(aHead, "Papayafield-Attempt-Id"), base::WallMillis() });
  }
}

void Runner::Stop() {
  m_listener.reset();
  m_running = 0;
  m_waiting.clear();
  m_rejections.clear();
  m_restartTimer.reset();
  for (const auto& callerConnection : std::exchange(m_callerConnections, {})) {
    callerConnection->m_timer.reset();
    callerConnection->m_isRunning = false;
    callerConnection->m_connection->Close();
  }
}

void Runner::Start() {
  if (m_listener == nullptr) {
    m_born = base::WallMillis();
    Listen();
  }
}

void Runner::Crash(const std::string& aAttemptId) {
  m_callLog.m_crashes.push_back({ m_id, aAttemptId, base::WallMillis() });
  Stop();
  m_restartTimer = m_loop.After(m_deadlyPart.m_downtime, [this] {
    Start();
    m_onRestart();
  });
}

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
      m_callLog.m_arrivals.push_back(
        { HeaderValue(locked->m_head, "Papayafield-Attempt-Id"), m_id, m_born, base::BootNow() });
      RecordDeadlyCall(locked->m_head);
      OnCall(locked);
    }
  };
  events.m_onFlushed = [weak] {
    if (const auto locked = weak.lock()) {
      locked->m_connection->Write(locked->m_endlessPart);
    }
  };
  events.m_onEnd = [this, weak](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (const auto locked = weak.lock()) {
      locked->m_timer.reset();
      if (locked->m_inProgress) {
        m_callLog.m_interruptedCalls.push_back(
          HeaderValue(locked->m_head, "Papayafield-Attempt-Id"));
      }
      EndProcessing(*locked);
      m_callerConnections.erase(locked);
    }
  };
  callerConnection->m_connection->SetEvents(std::move(events));
}

void Runner::OnCall(const std::shared_ptr<CallerConnection>& aCallerConnection) {
  if (m_capacity.m_slots == 0 || m_running < m_capacity.m_slots) {
    StartProcessing(aCallerConnection);
    return;
  }
  std::erase_if(m_waiting, [](const auto& aWaiting) { return aWaiting.expired(); });
  if (m_waiting.size() < m_capacity.m_queue) {
    m_waiting.push_back(aCallerConnection);
    return;
  }
  aCallerConnection->m_timer =
    m_loop.After(kRejectionTime, [this, weak = std::weak_ptr(aCallerConnection)] {
      if (const auto active = weak.lock()) {
        RejectForRoom(active);
      }
    });
}

void Runner::StartProcessing(const std::shared_ptr<CallerConnection>& aCallerConnection) {
  aCallerConnection->m_isRunning = true;
  ++m_running;
  const base::Millis processingTime =
    m_mode == RunnerMode::RespondLate ? kLateProcessingTime : m_capacity.m_processingTime;
  aCallerConnection->m_timer =
    m_loop.After(processingTime, [this, weak = std::weak_ptr(aCallerConnection)] {
      if (const auto active = weak.lock()) {
        Respond(active);
        if (!active->m_inProgress) {
          EndProcessing(*active);
        }
      }
    });
}

void Runner::EndProcessing(CallerConnection& aCallerConnection) {
  if (!std::exchange(aCallerConnection.m_isRunning, false)) {
    return;
  }
  --m_running;
  while (!m_waiting.empty() && m_running < m_capacity.m_slots) {
    const auto next = m_waiting.front().lock();
    m_waiting.pop_front();
    if (next != nullptr) {
      StartProcessing(next);
    }
  }
}

void Runner::RejectForRoom(const std::shared_ptr<CallerConnection>& aCallerConnection) {
  const std::string attemptId = HeaderValue(aCallerConnection->m_head, "Papayafield-Attempt-Id");
  const auto now = base::BootNow();
  m_callLog.m_rejections.push_back({ attemptId, m_id, m_born, now });
  m_rejections.push_back(now);
  while (now - m_rejections.front() >= kRejectionWindow) {
    m_rejections.pop_front();
  }
  ResponseHead head = aCallerConnection->MakeRejectionHead(503, attemptId);
  AddSignals(head);
  aCallerConnection->SendResponse(head, "");
  if (m_capacity.m_maxRejections && m_rejections.size() > *m_capacity.m_maxRejections) {
    Crash(attemptId);
  }
}

void Runner::AddSignals(ResponseHead& aHead) const {
  if (m_signals.m_leaving) {
    aHead.m_fields.Add("Server-Leaving", "1");
  }
  if (!m_signals.m_brittle.empty()) {
    aHead.m_fields.Add("Server-Brittle", m_signals.m_brittle);
  }
  if (aHead.m_status == 503) {
    for (const std::string& value : m_signals.m_retryAfter) {
      aHead.m_fields.Add("Retry-After", value);
    }
  }
  if (m_signals.m_leaving || (aHead.m_status == 503 && !m_signals.m_retryAfter.empty())) {
    m_callLog.m_signalledAnswers.push_back(
      { m_id, m_born, aHead.m_status, m_signals, base::BootNow() });
  }
}

void Runner::Respond(const std::shared_ptr<CallerConnection>& aCallerConnection) {
  if (m_mode == RunnerMode::Hang) {
    return;
  }
  if (HeaderValue(aCallerConnection->m_head, "Papayafield-Target-Instance") != m_id) {
    ResponseHead head = aCallerConnection->MakeRejectionHead(
      421, HeaderValue(aCallerConnection->m_head, "Papayafield-Attempt-Id"));
    head.m_fields.Add("Papayafield-Instance-Id", m_id);
    AddSignals(head);
    aCallerConnection->SendResponse(head, "");
    return;
  }
  const std::string attemptId = HeaderValue(aCallerConnection->m_head, "Papayafield-Attempt-Id");
  if (m_mode == RunnerMode::Shed || m_mode == RunnerMode::ShedWithoutId) {
    ResponseHead head =
      aCallerConnection->MakeRejectionHead(503, m_mode == RunnerMode::Shed ? attemptId : "");
    AddSignals(head);
    aCallerConnection->SendResponse(head, "");
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
    { attemptId,
      m_id,
      HeaderValue(aCallerConnection->m_head, "Papayafield-Tenant"),
      HeaderValue(aCallerConnection->m_head, "Papayafield-Request-Priority"),
      lastEventId,
      !previousId.empty(),
      m_version });
  if (!QueryParameter(aCallerConnection->m_head.m_target, "cut").empty()) {
    RespondTruncated(aCallerConnection);
  } else if (HasDeadlyPart(aCallerConnection->m_head)) {
    Crash(attemptId);
  } else if (TakesRawResponse(aCallerConnection->m_head)) {
    RespondRaw(aCallerConnection);
  } else if (m_mode == RunnerMode::DropResponses) {
    m_callerConnections.erase(aCallerConnection);
    aCallerConnection->m_connection->Close();
  } else if (m_mode == RunnerMode::Fail || m_mode == RunnerMode::FailAsRefusal) {
    const int status = m_mode == RunnerMode::Fail ? 500 : 503;
    ResponseHead head = aCallerConnection->MakeResponseHead(status, m_id);
    AddSignals(head);
    aCallerConnection->SendResponse(head, "failed");
  } else if (aCallerConnection->m_head.m_target.starts_with("/stream/") &&
             m_mode != RunnerMode::PlainStreams) {
    ResponseHead head = aCallerConnection->MakeResponseHead(200, m_id);
    head.m_fields.Add("Content-Type", "text/event-stream");
    head.m_fields.Add("Transfer-Encoding", "chunked");
    if (m_mode == RunnerMode::ContradictStreams) {
      head.m_fields.Add("Papayafield-Not-Executed", "1");
    }
    AddSignals(head);
    aCallerConnection->m_connection->Write(adapters::http1::Serialize(head));
    SendNextEvent(aCallerConnection, FirstEvent(m_mode, std::atoi(lastEventId.c_str())));
  } else {
    ResponseHead head = aCallerConnection->MakeResponseHead(200, m_id);
    AddSignals(head);
    aCallerConnection->SendResponse(head, "answer to " + aCallerConnection->m_head.m_target);
  }
}

void Runner::RespondTruncated(const std::shared_ptr<CallerConnection>& aCallerConnection) {
  const RequestHead& request = aCallerConnection->m_head;
  const std::string framing = QueryParameter(request.m_target, "framing");
  ResponseHead head = aCallerConnection->MakeResponseHead(200, m_id);
  std::string body = "answer to " + request.m_target.substr(0, request.m_target.find('?'));
  if (request.m_target.starts_with("/stream/")) {
    head.m_fields.Add("Content-Type", "text/event-stream");
    body = EventText(1, true) + EventText(2, true);
  }
  if (framing == "length") {
    head.m_fields.Add("Content-Length", std::to_string(body.size()));
  } else if (framing == "chunks") {
    head.m_fields.Add("Transfer-Encoding", "chunked");
    body = EncodeChunk(body) + "0\r\n\r\n";
  }
  const std::string response = adapters::http1::Serialize(head) + body;
  const size_t length = std::strtoul(QueryParameter(request.m_target, "cut").c_str(), nullptr, 10);
  aCallerConnection->m_inProgress = false;
  aCallerConnection->m_connection->Write(std::string_view(response).substr(0, length));
  if (length >= response.size() && framing != "none") {
    aCallerConnection->m_connection->Resume();
  } else if (QueryParameter(request.m_target, "end") == "reset") {
    aCallerConnection->m_timer =
      m_loop.After(kResetDelay, [this, weak = std::weak_ptr(aCallerConnection)] {
        if (const auto callerConnection = weak.lock()) {
          callerConnection->m_connection->Reset();
          m_callerConnections.erase(callerConnection);
        }
      });
  } else {
    aCallerConnection->m_connection->CloseWhenFlushed();
    m_callerConnections.erase(aCallerConnection);
  }
}

/// Returns whether the call gets raw bytes in place of its response, and counts it.
bool Runner::TakesRawResponse(const RequestHead& aHead) {
  return m_mode == RunnerMode::SendRaw &&
         aHead.m_target.starts_with(m_rawResponse.m_targetPrefix) &&
         ++m_rawCalls % m_rawResponse.m_oneIn == 0;
}

void Runner::RespondRaw(const std::shared_ptr<CallerConnection>& aCallerConnection) const {
  const std::string attemptId = HeaderValue(aCallerConnection->m_head, "Papayafield-Attempt-Id");
  std::string response = m_rawResponse.m_bytes;
  Replace(response, "{id}", attemptId);
  Replace(response,
          "{fields}",
          "Papayafield-Attempt-Id: " + attemptId +
            "\r\nPapayafield-Response-Signature: signed-by-" + m_id + "\r\n");
  aCallerConnection->m_inProgress = false;
  if (m_rawResponse.m_repeated.empty()) {
    aCallerConnection->m_connection->Write(response);
    aCallerConnection->m_connection->Resume();
    return;
  }
  while (aCallerConnection->m_endlessPart.size() < kEndlessPartBytes) {
    aCallerConnection->m_endlessPart += m_rawResponse.m_repeated;
  }
  aCallerConnection->m_connection->Write(response + aCallerConnection->m_endlessPart);
}

void Runner::SendNextEvent(const std::shared_ptr<CallerConnection>& aCallerConnection, int aEvent) {
  const std::string& target = aCallerConnection->m_head.m_target;
  const std::string events = QueryParameter(target, "events");
  if (aEvent > (events.empty() ? kEventsPerStream : std::atoi(events.c_str()))) {
    aCallerConnection->m_inProgress = false;
    aCallerConnection->m_connection->Write("0\r\n\r\n");
    aCallerConnection->m_connection->Resume();
    EndProcessing(*aCallerConnection);
    return;
  }
  const std::string event = MakeEvent(target, aEvent);
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
  const std::string interval = QueryParameter(target, "every_ms");
  const base::Millis delay =
    interval.empty() ? DelayAfterEvent(aEvent) : base::Millis(std::atoi(interval.c_str()));
  aCallerConnection->m_timer =
    m_loop.After(delay, [this, weak = std::weak_ptr(aCallerConnection), aEvent] {
      if (const auto callerConnection = weak.lock()) {
        SendNextEvent(callerConnection, aEvent + 1);
      }
    });
}

std::string Runner::MakeEvent(const std::string& aTarget, int aEvent) const {
  if (QueryParameter(aTarget, "events").empty()) {
    return EventText(aEvent, m_mode != RunnerMode::TruncateUnnumberedStreams);
  }
  return "id: " + std::to_string(aEvent) + "\ndata: " + m_id + " " + m_version + "\n\n";
}

base::Millis Runner::DelayAfterEvent(int aEvent) const {
  const bool atPause = aEvent == kEventsPerStream / 2 || aEvent == kEventsPerStream * 3 / 4;
  if (m_mode == RunnerMode::PauseStreams && atPause) {
    return kPause;
  }
  return m_mode == RunnerMode::SlowStreams ? kSlowEventInterval : kEventInterval;
}

} // namespace papayafield::standins
