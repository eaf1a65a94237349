#include "adapters/http/HttpServer.h"

#include <evhtp/evhtp.h>

#include <sys/socket.h>

#include <cassert>

namespace papayafield::adapters::http {

namespace {

/// Owning pointer to an evbuffer.
struct BufferDeleter {
  void operator()(evbuffer* aBuffer) const { evbuffer_free(aBuffer); }
};
using BufferPtr = std::unique_ptr<evbuffer, BufferDeleter>;

const char* MethodName(htp_method aMethod) {
  switch (aMethod) {
    case htp_method_GET:
      return "GET";
    case htp_method_HEAD:
      return "HEAD";
    case htp_method_POST:
      return "POST";
    case htp_method_PUT:
      return "PUT";
    case htp_method_DELETE:
      return "DELETE";
    case htp_method_PATCH:
      return "PATCH";
    default:
      return "OTHER";
  }
}

} // namespace

ServerExchange::ServerExchange(evhtp_request* aRequest)
  : m_request(aRequest)
  , m_method(MethodName(aRequest->method)) {
  // Copy the data that the handler may need after libevhtp has freed the request.
  if (aRequest->uri != nullptr && aRequest->uri->path != nullptr) {
    m_path = aRequest->uri->path->full;
  }
  if (aRequest->uri != nullptr && aRequest->uri->query_raw != nullptr) {
    m_query = reinterpret_cast<const char*>(aRequest->uri->query_raw);
  }
  evhtp_kvs_for_each(
    aRequest->headers_in,
    [](evhtp_kv_t* aLine, void* aHeaders) {
      static_cast<Headers*>(aHeaders)->Add(aLine->key, aLine->val);
      return 0;
    },
    &m_headers);
  const size_t size = evbuffer_get_length(aRequest->buffer_in);
  m_body.resize(size);
  evbuffer_remove(aRequest->buffer_in, m_body.data(), size);
}

std::optional<std::string> ServerExchange::QueryValue(std::string_view aName) const {
  size_t start = 0;
  while (start < m_query.size()) {
    const size_t end = std::min(m_query.find('&', start), m_query.size());
    const std::string_view part = std::string_view(m_query).substr(start, end - start);
    if (part.size() > aName.size() && part.starts_with(aName) && part[aName.size()] == '=') {
      return std::string(part.substr(aName.size() + 1));
    }
    start = end + 1;
  }
  return std::nullopt;
}

void ServerExchange::AddHeaders(const Headers& aHeaders) {
  for (const Header& line : aHeaders.Lines()) {
    evhtp_headers_add_header(m_request->headers_out,
                             evhtp_header_new(line.m_name.c_str(), line.m_value.c_str(), 1, 1));
  }
  if (m_closeAfterResponse) {
    evhtp_request_set_keepalive(m_request, 0);
    evhtp_headers_add_header(m_request->headers_out, evhtp_header_new("Connection", "close", 0, 0));
  }
}

void ServerExchange::Reply(int aStatus, const Headers& aHeaders, std::string_view aBody) {
  assert(!m_responseStarted);
  m_responseStarted = true;
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(aHeaders);
  m_finished = true;
  m_onDisconnect = nullptr;
  evbuffer_add(m_request->buffer_out, aBody.data(), aBody.size());
  evhtp_send_reply(m_request, static_cast<evhtp_res>(aStatus));
}

void ServerExchange::StartStream(int aStatus, const Headers& aHeaders) {
  assert(!m_responseStarted);
  m_responseStarted = true;
  if (m_request == nullptr) {
    return;
  }
  AddHeaders(aHeaders);
  evhtp_send_reply_chunk_start(m_request, static_cast<evhtp_res>(aStatus));
}

void ServerExchange::SendPart(std::string_view aPart) {
  if (m_request == nullptr || aPart.empty()) {
    return;
  }
  const BufferPtr buffer(evbuffer_new());
  evbuffer_add(buffer.get(), aPart.data(), aPart.size());
  evhtp_send_reply_chunk(m_request, buffer.get());
}

void ServerExchange::EndStream() {
  if (m_request != nullptr) {
    m_finished = true;
    m_onDisconnect = nullptr;
    evhtp_send_reply_chunk_end(m_request);
  }
}

void ServerExchange::Abort() {
  if (m_request == nullptr) {
    return;
  }
  m_onDisconnect = nullptr;
  // libevhtp may be the current caller. It frees the connection itself when it detects the
  // shutdown.
  shutdown(bufferevent_getfd(evhtp_request_get_bev(m_request)), SHUT_RDWR);
  m_request = nullptr;
}

size_t ServerExchange::UnsentBytes() const {
  if (m_request == nullptr) {
    return 0;
  }
  return evbuffer_get_length(bufferevent_get_output(evhtp_request_get_bev(m_request)));
}

void ServerExchange::Detach() {
  m_request = nullptr;
  // The callback is unset once the response is complete, so it reports only an early disconnect.
  if (const auto callback = std::exchange(m_onDisconnect, nullptr)) {
    callback();
  }
}

} // namespace papayafield::adapters::http
