#include "adapters/http/Transfer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayafield::adapters::http {

namespace {

/// Number of idle checks within one idle timeout.
constexpr int kIdleChecksPerTimeout = 4;
/// Maximum size of the head of an answer, in bytes.
constexpr size_t kMaxHeadBytes = 65536;
/// Maximum number of received bytes that are buffered. evhttp passes on a chunk once it is
/// complete, so a larger one is never passed on and the transfer ends with its idle timeout.
constexpr size_t kMaxBufferedBytes = 4U << 20U;
/// Range of the status codes of final responses.
constexpr int kMinFinalStatus = 200;
constexpr int kMaxStatus = 599;

evhttp_cmd_type ToCommand(const std::string& aMethod) {
  if (aMethod == "POST") {
    return EVHTTP_REQ_POST;
  }
  if (aMethod == "PUT") {
    return EVHTTP_REQ_PUT;
  }
  if (aMethod == "DELETE") {
    return EVHTTP_REQ_DELETE;
  }
  if (aMethod == "PATCH") {
    return EVHTTP_REQ_PATCH;
  }
  if (aMethod == "HEAD") {
    return EVHTTP_REQ_HEAD;
  }
  return EVHTTP_REQ_GET;
}

} // namespace

Transfer::Transfer(HttpClient& aClient, HttpRequest aRequest, TransferEvents aEvents)
  : m_client(aClient)
  , m_request(std::move(aRequest))
  , m_events(std::move(aEvents)) {}

Transfer::~Transfer() {
  if (m_connection != nullptr) {
    evhttp_connection_free(m_connection);
  }
}

void Transfer::Begin() {
  if (m_ended) {
    return;
  }
  // Create the connection. evhttp sends the request only after the connection is established, and
  // does not send it again because retries are disabled.
  m_connection = evhttp_connection_base_new(
    m_client.m_loop.Base(), nullptr, m_request.m_to.m_host.c_str(), m_request.m_to.m_port);
  if (m_connection == nullptr) {
    Fail(TransferFault::ConnectRefused);
    return;
  }
  evhttp_connection_set_retries(m_connection, 0);
  evhttp_connection_set_max_headers_size(m_connection, kMaxHeadBytes);
  if (m_request.m_maxBodyBytes > 0) {
    evhttp_connection_set_max_body_size(m_connection,
                                        static_cast<ev_ssize_t>(m_request.m_maxBodyBytes));
  }
  bufferevent_setwatermark(
    evhttp_connection_get_bufferevent(m_connection), EV_READ, 0, kMaxBufferedBytes);
  constexpr int kNoLibraryTimeoutSeconds = 86400;
  evhttp_connection_set_timeout(m_connection, kNoLibraryTimeoutSeconds);
  // Create the request.
  evhttp_request* request = evhttp_request_new(&Transfer::OnComplete, this);
  evhttp_request_set_header_cb(request, &Transfer::OnHead);
  evhttp_request_set_chunked_cb(request, &Transfer::OnChunk);
  evkeyvalq* headers = evhttp_request_get_output_headers(request);
  if (!m_request.m_headers.Find("Host")) {
    evhttp_add_header(headers, "Host", m_request.m_to.ToText().c_str());
  }
  evhttp_add_header(headers, "Connection", "close");
  for (const Header& line : m_request.m_headers.Lines()) {
    evhttp_add_header(headers, line.m_name.c_str(), line.m_value.c_str());
  }
  evbuffer_add(
    evhttp_request_get_output_buffer(request), m_request.m_body.data(), m_request.m_body.size());
  m_request.m_body.clear();
  // Start the timers before any event can occur.
  EventLoop& loop = m_client.m_loop;
  m_lastActivity = base::SteadyClock().Now();
  m_connectTimer = loop.After(m_request.m_connectTimeout, [this] { OnConnectTimeout(); });
  m_idleTimer =
    loop.Every(std::max(m_request.m_idleTimeout / kIdleChecksPerTimeout, base::Millis(1)),
               [this] { CheckIdle(); });
  if (m_request.m_totalTimeout.count() > 0) {
    m_totalTimer = loop.After(m_request.m_totalTimeout, [this] {
      Fail(IsConnected() ? TransferFault::ResponseTimedOut : TransferFault::ConnectTimedOut);
    });
  }
  const int result = evhttp_make_request(
    m_connection, request, ToCommand(m_request.m_method), m_request.m_target.c_str());
  if (result != 0) {
    Fail(TransferFault::ConnectRefused);
    return;
  }
  const int on = 1;
  setsockopt(bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection)),
             IPPROTO_TCP,
             TCP_NODELAY,
             &on,
             sizeof(on));
}

void Transfer::Cancel() {
  if (!m_ended) {
    m_ended = true;
    ScheduleRemoval();
  }
}

int Transfer::OnHead(evhttp_request* aRequest, void* aSelf) {
  auto* self = static_cast<Transfer*>(aSelf);
  if (self->m_ended) {
    return 0;
  }
  // evhttp accepts any number but 0 as the status, and reads interim responses other than 100 as
  // final ones.
  const int status = evhttp_request_get_response_code(aRequest);
  if (status < kMinFinalStatus || status > kMaxStatus) {
    self->Fail(TransferFault::InvalidAnswer);
    return 0;
  }
  self->m_sawHead = true;
  self->m_lastActivity = base::SteadyClock().Now();
  Headers headers;
  const evkeyvalq* lines = evhttp_request_get_input_headers(aRequest);
  for (const evkeyval* line = lines->tqh_first; line != nullptr; line = line->next.tqe_next) {
    headers.Add(line->key, line->value);
  }
  if (self->m_events.m_onHead) {
    self->m_events.m_onHead(status, headers);
  }
  return 0;
}

void Transfer::OnChunk(evhttp_request* aRequest, void* aSelf) {
  auto* self = static_cast<Transfer*>(aSelf);
  if (self->m_ended) {
    return;
  }
  self->m_lastActivity = base::SteadyClock().Now();
  evbuffer* input = evhttp_request_get_input_buffer(aRequest);
  const size_t size = evbuffer_get_length(input);
  self->m_bodyBytes += size;
  const size_t limit = self->m_request.m_maxBodyBytes;
  if (limit > 0 && self->m_bodyBytes > limit) {
    self->Fail(TransferFault::AnswerTooLarge);
    return;
  }
  const auto* bytes = reinterpret_cast<const char*>(evbuffer_pullup(input, -1));
  if (size > 0 && self->m_events.m_onData) {
    self->m_events.m_onData({ bytes, size });
  }
}

void Transfer::OnComplete(evhttp_request* aRequest, void* aSelf) {
  auto* self = static_cast<Transfer*>(aSelf);
  if (self->m_ended) {
    return;
  }
  // Status 0 means that the connection was never established; a null request means that it was
  // lost.
  if (aRequest == nullptr) {
    self->Fail(self->m_sawHead ? TransferFault::ResetInAnswer : TransferFault::ResetBeforeAnswer);
  } else if (evhttp_request_get_response_code(aRequest) == 0) {
    self->Fail(TransferFault::ConnectRefused);
  } else {
    self->Finish();
  }
}

bool Transfer::IsConnected() const {
  sockaddr_storage peer{};
  socklen_t size = sizeof(peer);
  const int fd = bufferevent_getfd(evhttp_connection_get_bufferevent(m_connection));
  return fd >= 0 && getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0;
}

void Transfer::OnConnectTimeout() {
  if (m_ended) {
    return;
  }
  // evhttp writes nothing before the connection is established, so without a peer no byte was sent.
  if (!IsConnected()) {
    Fail(TransferFault::ConnectTimedOut);
  }
}

void Transfer::CheckIdle() {
  if (!m_ended && base::SteadyClock().Now() - m_lastActivity >= m_request.m_idleTimeout &&
      IsConnected()) {
    Fail(TransferFault::ResponseTimedOut);
  }
}

void Transfer::Fail(TransferFault aFault) {
  if (m_ended) {
    return;
  }
  m_ended = true;
  const auto keep = shared_from_this();
  ScheduleRemoval();
  if (m_events.m_onFault) {
    m_events.m_onFault(aFault);
  }
}

void Transfer::Finish() {
  m_ended = true;
  const auto keep = shared_from_this();
  ScheduleRemoval();
  if (m_events.m_onEnd) {
    m_events.m_onEnd();
  }
}

void Transfer::ScheduleRemoval() {
  m_connectTimer.reset();
  m_idleTimer.reset();
  m_totalTimer.reset();
  // The connection may be the current caller, so it is freed later, by the event loop.
  m_client.m_loop.Defer([client = &m_client, self = shared_from_this()] {
    self->m_events = {};
    client->m_transfers.erase(self);
  });
}

} // namespace papayafield::adapters::http
