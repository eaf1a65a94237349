#include "soak/Caller.h"

#include "soak/PlannedWork.h"
#include "tests/harness/PlatformFleet.h"

#include <cstdlib>
#include <cstring>

namespace papayafield::soak {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;

namespace {

constexpr base::Millis kMinPause{ 15 };
constexpr base::Millis kUnacknowledgedTimeout{ 3000 };
/// One of this many calls goes to the host of the newest configuration.
constexpr uint64_t kCallsPerNewestHost = 6;

CallEnd CallEndOf(EndKind aKind) {
  switch (aKind) {
    case EndKind::NotConnected:
    case EndKind::RelayFailed:
      return CallEnd::NotConnected;
    case EndKind::Malformed:
    case EndKind::HeadTooLarge:
      return CallEnd::Malformed;
    case EndKind::Finished:
    case EndKind::Reset:
    case EndKind::RelayLost:
      break;
  }
  return CallEnd::Closed;
}

} // namespace

Caller::Caller(adapters::http::EventLoop& aLoop,
               uint64_t aSeed,
               std::string aName,
               CallerSettings aSettings,
               AddressProvider aAddressProvider,
               ConfigurationProvider aConfigurationProvider)
  : m_loop(aLoop)
  , m_random(aSeed)
  , m_name(std::move(aName))
  , m_settings(aSettings)
  , m_addressProvider(std::move(aAddressProvider))
  , m_configurationProvider(std::move(aConfigurationProvider)) {}

Caller::~Caller() {
  if (m_connection != nullptr) {
    m_connection->Close();
  }
}

void Caller::Connect() {
  const auto addresses = m_addressProvider();
  m_node = addresses[m_random() % addresses.size()];
  m_connection = ClientConnection::ConnectTo(m_loop, m_node, kUnacknowledgedTimeout);
  ClientConnection::Events events;
  events.m_onHead = [this](ResponseHead&& aHead) {
    m_currentCall.m_status = aHead.m_status;
    m_currentCall.m_answerBegan = true;
  };
  events.m_onBody = [this](std::string_view aBytes) { m_currentCall.m_body += aBytes; };
  events.m_onComplete = [this] { CompleteCall(CallEnd::Answered); };
  events.m_onEnd = [this](EndKind aKind, bool /*aInMessage*/) {
    if (m_callInFlight) {
      CompleteCall(CallEndOf(aKind));
    }
  };
  m_connection->SetEvents(std::move(events));
}

std::string Caller::ChooseKind() {
  static constexpr const char* kKinds[] = { "/once/", "/once/", "/safe/", "/stream/" };
  return m_settings.m_sendsOnlyStreams ? "/stream/" : kKinds[m_random() % 4];
}

void Caller::ResumeBrokenStream() {
  if (m_records.empty()) {
    return;
  }
  const CallRecord& last = m_records.back();
  const size_t end = last.m_body.rfind("\n\n");
  const size_t id = end == std::string::npos ? end : last.m_body.rfind("id: ", end);
  if (last.m_end == CallEnd::Answered || !last.m_target.starts_with("/stream/") ||
      id == std::string::npos) {
    return;
  }
  m_currentCall.m_target = last.m_target;
  m_currentCall.m_configuration = last.m_configuration;
  m_currentCall.m_resumes = last.m_resumes.empty() ? last.m_id : last.m_resumes;
  m_currentCall.m_lastEvent = std::atoi(last.m_body.c_str() + id + std::strlen("id: "));
}

void Caller::SendNext() {
  if (m_stopped || m_callInFlight) {
    return;
  }
  const std::string kind = ChooseKind();
  m_currentCall = {};
  m_currentCall.m_id = m_name + "-" + std::to_string(m_records.size());
  m_currentCall.m_target = kind + m_currentCall.m_id;
  if (m_random() % kCallsPerNewestHost == 0) {
    m_currentCall.m_configuration = m_configurationProvider();
  }
  ResumeBrokenStream();
  RequestHead head;
  head.m_method = m_currentCall.m_target.starts_with("/safe/") ? "GET" : "POST";
  head.m_target = m_currentCall.m_target;
  const int configuration = m_currentCall.m_configuration;
  const std::string host = configuration == 0 ? "h.example" : PlannedWork::HostOf(configuration);
  for (const auto& field :
       tests::MakeCallerHeaders(host, "key-1", m_currentCall.m_id, m_settings.m_answerTimeout)) {
    head.m_fields.Add(field.m_name, field.m_value);
  }
  if (!m_currentCall.m_resumes.empty()) {
    head.m_fields.Add("Resumes", m_currentCall.m_resumes);
    head.m_fields.Add("Last-Event-Id", std::to_string(m_currentCall.m_lastEvent));
  }
  m_callInFlight = true;
  if (m_connection == nullptr || !m_connection->IsOpen()) {
    Connect();
  } else {
    m_connection->Resume();
    m_currentCall.m_connectionWasUsed = true;
  }
  m_currentCall.m_node = m_node;
  m_currentCall.m_sentAt = base::BootNow();
  m_timeoutTimer = m_loop.After(m_settings.m_answerTimeout + m_settings.m_extraWait,
                                [this] { CompleteCall(CallEnd::TimedOut); });
  m_connection->Write(adapters::http1::Serialize(head, head.m_method == "POST" ? "{}" : ""));
}

void Caller::CompleteCall(CallEnd aEnd) {
  const bool incomplete = aEnd != CallEnd::Answered;
  m_callInFlight = false;
  m_timeoutTimer.reset();
  m_currentCall.m_end = aEnd;
  m_currentCall.m_endedAt = base::BootNow();
  m_currentCall.m_newestConfiguration = m_configurationProvider();
  if (incomplete) {
    m_currentCall.m_status = 0;
  }
  m_records.push_back(m_currentCall);
  if (incomplete || !m_connection->ShouldKeepAlive()) {
    m_connection->Close();
  }
  const auto extraPause =
    static_cast<uint64_t>((std::max(m_settings.m_maxPause, kMinPause) - kMinPause).count()) + 1;
  m_pauseTimer =
    m_loop.After(kMinPause + base::Millis(m_random() % extraPause), [this] { SendNext(); });
}

} // namespace papayafield::soak
