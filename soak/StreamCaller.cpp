#include "soak/StreamCaller.h"

#include "tests/harness/PlatformFleet.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace papayafield::soak {

using adapters::http1::ClientConnection;
using adapters::http1::EndKind;
using adapters::http1::RequestHead;
using adapters::http1::ResponseHead;

namespace {

constexpr base::Millis kDeadline{ 15000 };
constexpr base::Millis kMaxConnectTime{ 1000 };
constexpr base::Millis kUnacknowledgedTimeout{ 3000 };
constexpr int kMaxTries = 4;
constexpr base::Millis kMinRetryDelay{ 20 };
constexpr base::Millis kMaxRetryDelay{ 200 };
constexpr base::Millis kMaxPause{ 300 };
/// One of this many streams is abandoned by its caller.
constexpr uint64_t kStreamsPerAbandoned = 8;

} // namespace

StreamCaller::StreamCaller(adapters::http::EventLoop& aLoop,
                           uint64_t aSeed,
                           std::string aName,
                           Caller::AddressProvider aAddressProvider)
  : m_loop(aLoop)
  , m_random(aSeed)
  , m_name(std::move(aName))
  , m_addressProvider(std::move(aAddressProvider)) {}

StreamCaller::~StreamCaller() {
  if (m_connection != nullptr) {
    m_connection->Close();
  }
}

void StreamCaller::Start() {
  m_nextTimer =
    m_loop.After(base::Millis(RandomNumber(0, kMaxPause.count())), [this] { BeginStream(); });
}

void StreamCaller::BeginStream() {
  if (m_stopped) {
    return;
  }
  m_streamInFlight = true;
  m_stream = {};
  m_stream.m_eventCount = static_cast<int>(RandomNumber(15, 60));
  m_abandonAfter = m_random() % kStreamsPerAbandoned == 0
                     ? static_cast<int>(RandomNumber(1, m_stream.m_eventCount - 1))
                     : 0;
  const bool hasLongGap = m_random() % 4 == 0;
  m_maxGap = hasLongGap ? kMaxLongGap : kMaxGap;
  m_target = std::string(hasLongGap ? "/stream/" : "/stream/ungapped/") + m_name +
             "?events=" + std::to_string(m_stream.m_eventCount) +
             "&every_ms=" + std::to_string(RandomNumber(80, 180));
  m_deadline = base::BootNow() + kDeadline;
  m_failedNodes.clear();
  SendTry();
}

base::Address StreamCaller::ChooseNode() {
  std::vector<base::Address> nodes = m_addressProvider();
  const auto hasFailed = [&](const base::Address& aNode) {
    return m_failedNodes.contains(aNode.ToText());
  };
  if (!std::all_of(nodes.begin(), nodes.end(), hasFailed)) {
    std::erase_if(nodes, hasFailed);
  }
  return nodes[m_random() % nodes.size()];
}

int StreamCaller::LastEvent() const {
  int last = 0;
  for (const StreamTry& attempt : m_stream.m_tries) {
    if (!attempt.m_events.empty()) {
      last = attempt.m_events.back().m_number;
    }
  }
  return last;
}

std::string StreamCaller::FirstTry() const {
  const auto first = std::find_if(m_stream.m_tries.begin(),
                                  m_stream.m_tries.end(),
                                  [](const StreamTry& aTry) { return !aTry.m_events.empty(); });
  return first == m_stream.m_tries.end() ? std::string() : first->m_id;
}

void StreamCaller::SendTry() {
  const auto timeLeft = std::chrono::duration_cast<base::Millis>(m_deadline - base::BootNow());
  StreamTry attempt;
  attempt.m_id =
    m_name + "-" + std::to_string(m_records.size()) + "-" + std::to_string(m_stream.m_tries.size());
  attempt.m_node = ChooseNode();
  attempt.m_sentAt = base::BootNow();
  attempt.m_lastEvent = LastEvent();
  RequestHead head;
  head.m_method = "POST";
  head.m_target = m_target;
  for (const auto& field : tests::MakeCallerHeaders("h.example", "key-1", attempt.m_id, timeLeft)) {
    head.m_fields.Add(field.m_name, field.m_value);
  }
  if (attempt.m_lastEvent > 0) {
    head.m_fields.Add("Resumes", FirstTry());
    head.m_fields.Add("Last-Event-Id", std::to_string(attempt.m_lastEvent));
  }
  m_connection = ClientConnection::ConnectTo(m_loop, attempt.m_node, kUnacknowledgedTimeout);
  m_stream.m_tries.push_back(std::move(attempt));
  m_buffer.clear();
  m_retryAfterSeconds = 0;
  ClientConnection::Events events;
  events.m_onEstablished = [this] { m_connectTimer.reset(); };
  events.m_onHead = [this](ResponseHead&& aHead) {
    m_stream.m_tries.back().m_status = aHead.m_status;
    const std::string retryAfter(aHead.m_fields.Find("Retry-After").value_or("0"));
    m_retryAfterSeconds = std::atof(retryAfter.c_str());
  };
  events.m_onBody = [this](std::string_view aBytes) { OnBody(aBytes); };
  events.m_onComplete = [this] { EndTry(CallEnd::Answered); };
  events.m_onEnd = [this](EndKind aKind, bool /*aInMessage*/) {
    EndTry(aKind == EndKind::NotConnected                                  ? CallEnd::NotConnected
           : aKind == EndKind::Malformed || aKind == EndKind::HeadTooLarge ? CallEnd::Malformed
                                                                           : CallEnd::Closed);
  };
  m_connection->SetEvents(std::move(events));
  m_connectTimer = m_loop.After(kMaxConnectTime, [this] { EndTry(CallEnd::NotConnected); });
  ArmGapTimer();
  m_connection->Write(adapters::http1::Serialize(head, "{}"));
}

void StreamCaller::ArmGapTimer() {
  m_gapTimer = m_loop.After(m_maxGap, [this] { EndTry(CallEnd::TimedOut); });
}

void StreamCaller::OnBody(std::string_view aBytes) {
  if (m_stream.m_tries.back().m_status != 200) {
    return;
  }
  m_buffer += aBytes;
  for (size_t end = 0; (end = m_buffer.find("\n\n")) != std::string::npos;) {
    AddEvent(std::string_view(m_buffer).substr(0, end));
    m_buffer.erase(0, end + 2);
    ArmGapTimer();
    if (m_abandonAfter != 0 && LastEvent() >= m_abandonAfter) {
      m_abandonAfter = 0;
      m_stream.m_tries.back().m_wasAbandoned = true;
      EndTry(CallEnd::Closed);
      return;
    }
  }
}

void StreamCaller::AddEvent(std::string_view aText) {
  StreamEvent event;
  event.m_receivedAt = base::BootNow();
  std::istringstream lines{ std::string(aText) };
  for (std::string line; std::getline(lines, line);) {
    std::istringstream words(line);
    std::string name;
    words >> name;
    if (name == "id:") {
      words >> event.m_number;
    } else if (name == "data:") {
      words >> event.m_endpoint >> event.m_version;
    }
  }
  m_stream.m_tries.back().m_events.push_back(std::move(event));
}

void StreamCaller::EndTry(CallEnd aEnd) {
  m_connectTimer.reset();
  m_gapTimer.reset();
  m_connection->Close();
  StreamTry& attempt = m_stream.m_tries.back();
  attempt.m_end = aEnd;
  attempt.m_endedAt = base::BootNow();
  m_stream.m_isComplete = aEnd == CallEnd::Answered && attempt.m_status == 200;
  const bool mayRetry = aEnd != CallEnd::Answered || attempt.m_status == 503 ||
                        attempt.m_status == 429 || attempt.m_status == 502 ||
                        attempt.m_status == 504;
  if (aEnd != CallEnd::Answered) {
    m_failedNodes.insert(attempt.m_node.ToText());
  }
  const base::Millis delay =
    std::max(base::Millis(RandomNumber(kMinRetryDelay.count(), kMaxRetryDelay.count())),
             base::Millis(static_cast<int64_t>(m_retryAfterSeconds * 1000)));
  if (m_stream.m_isComplete || !mayRetry || m_stream.m_tries.size() >= kMaxTries ||
      base::BootNow() + delay + kMaxConnectTime >= m_deadline) {
    EndStream();
    return;
  }
  m_nextTimer = m_loop.After(delay, [this] { SendTry(); });
}

void StreamCaller::EndStream() {
  m_records.push_back(std::exchange(m_stream, {}));
  m_streamInFlight = false;
  Start();
}

} // namespace papayafield::soak
