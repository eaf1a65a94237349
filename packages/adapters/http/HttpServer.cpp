#include "adapters/http/HttpServer.h"

#include <evhtp/evhtp.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace papayafield::adapters::http {

namespace {

/// Time that a rejected connection stays open so that the caller can read the response.
constexpr base::Millis kLingerTime{ 1000 };

timeval ToTimeval(base::Millis aDuration) {
  constexpr int kMillisPerSecond = 1000;
  return { static_cast<time_t>(aDuration.count() / kMillisPerSecond),
           static_cast<suseconds_t>(aDuration.count() % kMillisPerSecond * kMillisPerSecond) };
}

std::string_view ReasonPhrase(int aStatus) {
  switch (aStatus) {
    case EVHTP_RES_ENTOOLARGE:
      return "Payload Too Large";
    case 431: // NOLINT(readability-magic-numbers): Request Header Fields Too Large
      return "Request Header Fields Too Large";
    default:
      return "Bad Request";
  }
}

} // namespace

/// State of one connection.
struct HttpServer::ConnectionState {
  /// The request being handled, if any.
  ExchangePtr m_exchange;
  /// A request has been received in part.
  bool m_isReading = false;
  /// The connection was rejected and closes when m_lingerTimer expires.
  bool m_isRejected = false;
  /// Size of the header lines read so far of the current request, in bytes.
  uint64_t m_headerBytes = 0;
  /// Closes a rejected connection.
  EventHandlePtr m_lingerTimer;
};

HttpServer::HttpServer(EventLoop& aLoop,
                       HttpServerSettings aSettings,
                       std::function<void(ExchangePtr)> aHandler)
  : m_loop(aLoop)
  , m_settings(std::move(aSettings))
  , m_handler(std::move(aHandler))
  , m_server(evhtp_new(aLoop.Base(), nullptr)) {
  evhtp_set_gencb(m_server, &HttpServer::OnRequest, this);
  evhtp_set_post_accept_cb(m_server, &HttpServer::OnAccept, this);
  evhtp_enable_flag(m_server, EVHTP_FLAG_ENABLE_NODELAY);
  const timeval timeout = ToTimeval(m_settings.m_readTimeout);
  evhtp_set_timeouts(m_server, &timeout, nullptr);
}

HttpServer::~HttpServer() {
  StopListening();
  while (!m_connections.empty()) {
    evhtp_connection_free(m_connections.begin()->first);
  }
  evhtp_free(m_server);
}

bool HttpServer::Listen() {
  constexpr int kBacklog = 1024;
  m_listening =
    evhtp_bind_socket(
      m_server, m_settings.m_listen.m_host.c_str(), m_settings.m_listen.m_port, kBacklog) == 0;
  return m_listening;
}

void HttpServer::StopListening() {
  if (m_listening) {
    evhtp_unbind_socket(m_server);
    m_listening = false;
  }
}

void HttpServer::CloseIdleConnections() {
  std::vector<evhtp_connection*> idle;
  for (const auto& [connection, state] : m_connections) {
    const bool answering = state->m_exchange != nullptr && !state->m_exchange->IsFinished();
    bufferevent* socket = evhtp_connection_get_bev(connection);
    const bool sending = evbuffer_get_length(bufferevent_get_output(socket)) > 0;
    if (!answering && !sending && !state->m_isReading) {
      idle.push_back(connection);
    }
  }
  for (evhtp_connection* connection : idle) {
    evhtp_connection_free(connection);
  }
}

HttpServer::ConnectionState* HttpServer::FindState(evhtp_connection* aConnection) {
  const auto found = m_connections.find(aConnection);
  return found == m_connections.end() ? nullptr : found->second.get();
}

uint16_t HttpServer::OnAccept(evhtp_connection* aConnection, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  if (self->m_connections.size() >= self->m_settings.m_maxConnections) {
    return EVHTP_RES_ERROR;
  }
  self->m_connections[aConnection] = std::make_unique<ConnectionState>();
  const auto hook = [&](evhtp_hook_type aType, auto aFunction) {
    // libevhtp takes every hook as the same function type and calls each one with the signature of
    // its hook type.
    const auto any = reinterpret_cast<void (*)()>(aFunction);
    evhtp_connection_set_hook(aConnection, aType, reinterpret_cast<evhtp_hook>(any), self);
  };
  hook(evhtp_hook_on_headers_start, &HttpServer::OnHeadersStart);
  hook(evhtp_hook_on_header, &HttpServer::OnHeader);
  hook(evhtp_hook_on_headers, &HttpServer::OnHeadersComplete);
  hook(evhtp_hook_on_request_fini, &HttpServer::OnRequestDestroyed);
  hook(evhtp_hook_on_connection_fini, &HttpServer::OnConnectionDestroyed);
  hook(evhtp_hook_on_error, &HttpServer::OnError);
  const int on = 1;
  setsockopt(aConnection->sock, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnHeadersStart(evhtp_request* aRequest, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  ConnectionState* state = self->FindState(aRequest->conn);
  if (state == nullptr || state->m_isRejected) {
    return EVHTP_RES_OK;
  }
  // libevhtp loses a request whose response is still in progress when it reads the next one.
  if (state->m_exchange != nullptr && !state->m_exchange->IsFinished()) {
    self->Reject(aRequest->conn, EVHTP_RES_BADREQ, "pipelining is not supported");
    return EVHTP_RES_OK;
  }
  state->m_headerBytes = 0;
  state->m_isReading = true;
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnHeader(evhtp_request* aRequest, evhtp_kv* aLine, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  ConnectionState* state = self->FindState(aRequest->conn);
  if (state == nullptr || state->m_isRejected) {
    return EVHTP_RES_OK;
  }
  state->m_headerBytes += aLine->klen + aLine->vlen;
  if (state->m_headerBytes > self->m_settings.m_maxHeaderBytes) {
    constexpr int kHeadersTooLarge = 431;
    self->Reject(aRequest->conn, kHeadersTooLarge, "the header lines are too large");
  }
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnHeadersComplete(evhtp_request* aRequest,
                                       evhtp_kvs* /*aLines*/,
                                       void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  ConnectionState* state = self->FindState(aRequest->conn);
  if (state == nullptr || state->m_isRejected) {
    return EVHTP_RES_OK;
  }
  if (evhtp_request_content_len(aRequest) > self->m_settings.m_maxBodyBytes) {
    self->Reject(aRequest->conn, EVHTP_RES_ENTOOLARGE, "the body is too large");
    return EVHTP_RES_OK;
  }
  // A chunked body has no declared length, so libevhtp enforces the limit while it reads the body.
  evhtp_connection_set_max_body_size(aRequest->conn, self->m_settings.m_maxBodyBytes);
  return EVHTP_RES_OK;
}

void HttpServer::OnRequest(evhtp_request* aRequest, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  ConnectionState* state = self->FindState(aRequest->conn);
  if (state == nullptr || state->m_isRejected) {
    return;
  }
  auto exchange = std::make_shared<ServerExchange>(aRequest);
  state->m_exchange = exchange;
  state->m_isReading = false;
  self->m_handler(exchange);
}

uint16_t HttpServer::OnRequestDestroyed(evhtp_request* aRequest, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  ConnectionState* state = self->FindState(aRequest->conn);
  if (state != nullptr && state->m_exchange != nullptr &&
      state->m_exchange->m_request == aRequest) {
    std::exchange(state->m_exchange, nullptr)->Detach();
  }
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnConnectionDestroyed(evhtp_connection* aConnection, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  ConnectionState* state = self->FindState(aConnection);
  if (state == nullptr) {
    return EVHTP_RES_OK;
  }
  const ExchangePtr exchange = std::exchange(state->m_exchange, nullptr);
  self->m_connections.erase(aConnection);
  if (exchange != nullptr) {
    exchange->Detach();
  }
  return EVHTP_RES_OK;
}

void HttpServer::OnError(evhtp_request* aRequest, uint8_t aWhat, void* aSelf) {
  auto* self = static_cast<HttpServer*>(aSelf);
  if (aRequest == nullptr || aRequest->conn == nullptr) {
    return;
  }
  if (aRequest->status == EVHTP_RES_DATA_TOO_LONG) {
    self->Reject(aRequest->conn, EVHTP_RES_ENTOOLARGE, "the body is too large");
  } else if ((aWhat & (BEV_EVENT_EOF | BEV_EVENT_TIMEOUT | BEV_EVENT_ERROR)) == 0) {
    self->Reject(aRequest->conn, EVHTP_RES_BADREQ, "the request is malformed");
  }
}

void HttpServer::Reject(evhtp_connection* aConnection, int aStatus, std::string_view aReason) {
  ConnectionState* state = FindState(aConnection);
  if (state == nullptr || state->m_isRejected) {
    return;
  }
  state->m_isRejected = true;
  // Write the response directly to the socket, since libevhtp may be in the middle of parsing.
  const std::string body = "{\"type\":\"about:blank\",\"title\":\"" + std::string(aReason) +
                           "\",\"status\":" + std::to_string(aStatus) + ",\"outcome\":\"not run\"}";
  const std::string text =
    "HTTP/1.1 " + std::to_string(aStatus) + " " + std::string(ReasonPhrase(aStatus)) +
    "\r\nContent-Type: application/problem+json\r\nX-Outcome: not run" +
    "\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  bufferevent* socket = evhtp_connection_get_bev(aConnection);
  bufferevent_write(socket, text.data(), text.size());
  bufferevent_disable(socket, EV_READ);
  // Close the connection after the linger time.
  state->m_lingerTimer =
    m_loop.After(kLingerTime, [aConnection] { evhtp_connection_free(aConnection); });
}

} // namespace papayafield::adapters::http
