#include "soak/Caller.h"

#include "tests/harness/PlatformFleet.h"

namespace papayafield::soak {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;

namespace {

/// Maximum time that a caller waits for a complete answer.
constexpr base::Millis kAnswerTimeout{ 6000 };
constexpr base::Millis kPauseBetweenCalls{ 15 };
constexpr base::Millis kUnacknowledgedTimeout{ 3000 };

} // namespace

Caller::Caller(adapters::http::EventLoop& aLoop,
               uint64_t aSeed,
               std::string aName,
               AddressProvider aAddressProvider)
  : m_loop(aLoop)
  , m_random(aSeed)
  , m_name(std::move(aName))
  , m_addressProvider(std::move(aAddressProvider)) {}

Caller::~Caller() {
  if (m_connection != nullptr) {
    m_connection->Close();
  }
}

void Caller::Connect() {
  const auto addresses = m_addressProvider();
  m_connection = ClientConnection::ConnectTo(
    m_loop, addresses[m_random() % addresses.size()], kUnacknowledgedTimeout);
  ClientConnection::Events events;
  events.m_onHead = [this](ResponseHead&& aHead) { m_currentCall.m_status = aHead.m_status; };
  events.m_onBody = [this](std::string_view aBytes) { m_currentCall.m_body += aBytes; };
  events.m_onComplete = [this] { CompleteCall(false); };
  events.m_onEnd = [this](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (m_callInFlight) {
      CompleteCall(true);
    }
  };
  m_connection->SetEvents(std::move(events));
}

void Caller::SendNext() {
  if (m_stopped || m_callInFlight) {
    return;
  }
  static constexpr const char* kKinds[] = { "/once/", "/once/", "/safe/", "/stream/" };
  const std::string kind = kKinds[m_random() % 4];
  m_currentCall = {};
  m_currentCall.m_id = m_name + "-" + std::to_string(m_records.size());
  m_currentCall.m_target = kind + m_currentCall.m_id;
  RequestHead head;
  head.m_method = kind == "/safe/" ? "GET" : "POST";
  head.m_target = m_currentCall.m_target;
  for (const auto& field :
       tests::MakeCallerHeaders("h.example", "key-1", m_currentCall.m_id, kAnswerTimeout)) {
    head.m_fields.Add(field.m_name, field.m_value);
  }
  m_callInFlight = true;
  if (m_connection == nullptr || !m_connection->IsOpen()) {
    Connect();
  } else {
    m_connection->Resume();
  }
  m_timeoutTimer = m_loop.After(kAnswerTimeout, [this] { CompleteCall(true); });
  m_connection->Write(adapters::http1::Serialize(head, head.m_method == "POST" ? "{}" : ""));
}

void Caller::CompleteCall(bool aIncomplete) {
  m_callInFlight = false;
  m_timeoutTimer.reset();
  m_currentCall.m_isIncomplete = aIncomplete;
  if (aIncomplete) {
    m_currentCall.m_status = 0;
  }
  m_records.push_back(m_currentCall);
  if (aIncomplete || !m_connection->ShouldKeepAlive()) {
    m_connection->Close();
  }
  m_pauseTimer = m_loop.After(kPauseBetweenCalls, [this] { SendNext(); });
}

} // namespace papayafield::soak
