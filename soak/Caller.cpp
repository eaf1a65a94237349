#include "soak/Caller.h"

#include "tests/harness/PlatformFleet.h"

namespace papayafield::soak {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;

namespace {

/// How long a caller waits for a whole answer.
constexpr base::Millis kPatience{ 6000 };
constexpr base::Millis kPause{ 15 };
constexpr base::Millis kStuckAfter{ 3000 };

} // namespace

Caller::Caller(adapters::http::EventLoop& aLoop,
               uint64_t aSeed,
               std::string aName,
               Addresses aAddresses)
  : m_loop(aLoop)
  , m_random(aSeed)
  , m_name(std::move(aName))
  , m_addresses(std::move(aAddresses)) {}

Caller::~Caller() {
  if (m_connection != nullptr) {
    m_connection->Close();
  }
}

void Caller::Connect() {
  const auto addresses = m_addresses();
  m_connection =
    ClientConnection::Connected(m_loop, addresses[m_random() % addresses.size()], kStuckAfter);
  ClientConnection::Events events;
  events.m_onHead = [this](ResponseHead&& aHead) { m_call.m_status = aHead.m_status; };
  events.m_onBody = [this](std::string_view aBytes) { m_call.m_body += aBytes; };
  events.m_onComplete = [this] { Over(false); };
  events.m_onEnd = [this](EndKind /*aKind*/, bool /*aInMessage*/) {
    if (m_busy) {
      Over(true);
    }
  };
  m_connection->SetEvents(std::move(events));
}

void Caller::Next() {
  if (m_stopped || m_busy) {
    return;
  }
  static constexpr const char* kKinds[] = { "/once/", "/once/", "/safe/", "/stream/" };
  const std::string kind = kKinds[m_random() % 4];
  m_call = {};
  m_call.m_id = m_name + "-" + std::to_string(m_records.size());
  m_call.m_target = kind + m_call.m_id;
  RequestHead head;
  head.m_method = kind == "/safe/" ? "GET" : "POST";
  head.m_target = m_call.m_target;
  for (const auto& field : tests::MakeCallerHeaders("h.example", "key-1", m_call.m_id, kPatience)) {
    head.m_fields.Add(field.m_name, field.m_value);
  }
  m_busy = true;
  if (m_connection == nullptr || !m_connection->Open()) {
    Connect();
  } else {
    m_connection->Resume();
  }
  m_patience = m_loop.After(kPatience, [this] { Over(true); });
  m_connection->Write(adapters::http1::Serialize(head, head.m_method == "POST" ? "{}" : ""));
}

void Caller::Over(bool aBroken) {
  m_busy = false;
  m_patience.reset();
  m_call.m_broken = aBroken;
  if (aBroken) {
    m_call.m_status = 0;
  }
  m_records.push_back(m_call);
  if (aBroken || !m_connection->KeepAlive()) {
    m_connection->Close();
  }
  m_pause = m_loop.After(kPause, [this] { Next(); });
}

} // namespace papayafield::soak
