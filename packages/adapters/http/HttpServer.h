#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http/HttpTypes.h"

#include <functional>
#include <memory>
#include <unordered_map>

struct evhtp;
struct evhtp_connection;
struct evhtp_kv;
struct evhtp_kvs;
struct evhtp_request;

namespace papayafield::adapters::http {

/// Address and limits of an HttpServer.
struct HttpServerSettings {
  /// Address to listen on.
  base::Address m_listen;
  /// Maximum size of a request body, in bytes.
  uint64_t m_maxBodyBytes = 4ULL << 20;
  /// Maximum total size of the header lines of a request, in bytes.
  uint64_t m_maxHeaderBytes = 32ULL << 10;
  /// Maximum number of open connections; further ones are closed when they are accepted.
  size_t m_maxConnections = 10000;
  /// Maximum idle time of a connection until its request has been received completely.
  base::Millis m_readTimeout{ 30000 };
};

/// A request and its response. It remains valid after the caller has disconnected; its methods then
/// do nothing.
class ServerExchange {
public:
  /// Called by HttpServer.
  explicit ServerExchange(evhtp_request* aRequest);

  /// The request method, such as GET or POST.
  const std::string& Method() const { return m_method; }
  /// The path without the query.
  const std::string& Path() const { return m_path; }
  /// The query without the question mark; may be empty.
  const std::string& Query() const { return m_query; }
  /// Returns the value of `aName` in the query, without percent-decoding it, or nullopt.
  std::optional<std::string> QueryValue(std::string_view aName) const;
  /// The header lines of the request.
  const Headers& RequestHeaders() const { return m_headers; }
  /// The body of the request.
  const std::string& Body() const { return m_body; }
  /// Whether a complete response has been passed to this exchange.
  bool IsFinished() const { return m_finished; }
  /// Whether the caller is still connected.
  bool IsConnected() const { return m_request != nullptr; }

  /// Sends a complete response. Precondition: no response has been started.
  void Reply(int aStatus, const Headers& aHeaders, std::string_view aBody);
  /// Starts a streamed response. Precondition: no response has been started.
  void StartStream(int aStatus, const Headers& aHeaders);
  /// Sends a part of a streamed response. Precondition: StartStream was called.
  void SendPart(std::string_view aPart);
  /// Completes a streamed response.
  void EndStream();
  /// Closes the connection without completing the response, so that the caller detects that it is
  /// truncated.
  void Abort();
  /// Closes the connection after this response has been sent. Must be called before Reply or
  /// StartStream.
  void CloseAfterResponse() { m_closeAfterResponse = true; }
  /// Returns the number of response bytes that have not been written to the socket yet.
  size_t UnsentBytes() const;
  /// Sets a callback that is called once if the caller disconnects before the response is complete.
  void OnDisconnect(std::function<void()> aCallback) { m_onDisconnect = std::move(aCallback); }

private:
  friend class HttpServer;
  void Detach();
  void AddHeaders(const Headers& aHeaders);

  evhtp_request* m_request;
  std::string m_method;
  std::string m_path;
  std::string m_query;
  Headers m_headers;
  std::string m_body;
  bool m_responseStarted = false;
  bool m_finished = false;
  bool m_closeAfterResponse = false;
  std::function<void()> m_onDisconnect;
};

/// An exchange, shared between the server and the request handler.
using ExchangePtr = std::shared_ptr<ServerExchange>;

/// An HTTP server based on libevhtp. Must be used only on the thread of its loop.
class HttpServer {
public:
  /// Passes each completely received request to `aHandler`.
  HttpServer(EventLoop& aLoop,
             HttpServerSettings aSettings,
             std::function<void(ExchangePtr)> aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  HttpServer(HttpServer&&) = delete;
  HttpServer& operator=(HttpServer&&) = delete;

  /// Starts listening. Returns false if the address cannot be bound.
  bool Listen();
  /// Stops accepting connections. Connections that are already open remain usable.
  void StopListening();
  /// Closes the connections that have no request in progress and no unsent bytes.
  void CloseIdleConnections();
  /// Returns the number of open connections.
  size_t ConnectionCount() const { return m_connections.size(); }

private:
  struct ConnectionState;

  static uint16_t OnAccept(evhtp_connection* aConnection, void* aSelf);
  static uint16_t OnHeadersStart(evhtp_request* aRequest, void* aSelf);
  static uint16_t OnHeader(evhtp_request* aRequest, evhtp_kv* aLine, void* aSelf);
  static uint16_t OnHeadersComplete(evhtp_request* aRequest, evhtp_kvs* aLines, void* aSelf);
  static void OnRequest(evhtp_request* aRequest, void* aSelf);
  static uint16_t OnRequestDestroyed(evhtp_request* aRequest, void* aSelf);
  static uint16_t OnConnectionDestroyed(evhtp_connection* aConnection, void* aSelf);
  static void OnError(evhtp_request* aRequest, uint8_t aWhat, void* aSelf);

  ConnectionState* FindState(evhtp_connection* aConnection);
  void Reject(evhtp_connection* aConnection, int aStatus, std::string_view aReason);

  EventLoop& m_loop;
  HttpServerSettings m_settings;
  std::function<void(ExchangePtr)> m_handler;
  evhtp* m_server;
  bool m_listening = false;
  std::unordered_map<evhtp_connection*, std::unique_ptr<ConnectionState>> m_connections;
};

} // namespace papayafield::adapters::http
