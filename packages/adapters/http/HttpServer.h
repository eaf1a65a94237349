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

/// Bounds of a server.
struct HttpServerSettings {
  /// Where to listen.
  base::Address m_listen;
  /// Largest body taken, in bytes.
  uint64_t m_maxBodyBytes = 4ULL << 20;
  /// Largest sum of header bytes taken.
  uint64_t m_maxHeaderBytes = 32ULL << 10;
  /// Most connections at once; more are closed on arrival.
  size_t m_maxConnections = 10000;
  /// How long a connection may be idle before its request is whole.
  base::Millis m_readTimeout{ 30000 };
};

/// One request being answered. It stays valid after the caller has gone; calls then do nothing.
class ServerExchange {
public:
  /// Made by HttpServer.
  explicit ServerExchange(evhtp_request* aRequest);

  /// GET, POST and so on.
  const std::string& Method() const { return m_method; }
  /// Path without the query.
  const std::string& Path() const { return m_path; }
  /// Query without the question mark; may be empty.
  const std::string& Query() const { return m_query; }
  /// The value of `aName` in the query, or nothing. No percent decoding.
  std::optional<std::string> QueryValue(std::string_view aName) const;
  /// Header lines of the request.
  const Headers& RequestHeaders() const { return m_headers; }
  /// Body of the request.
  const std::string& Body() const { return m_body; }
  /// Whether a whole answer was handed over.
  bool Finished() const { return m_finished; }
  /// Whether the caller is still there.
  bool Alive() const { return m_request != nullptr; }

  /// Answers whole. Precondition: nothing was answered before.
  void Reply(int aStatus, const Headers& aHeaders, std::string_view aBody);
  /// Starts a streamed answer. Precondition: nothing was answered before.
  void StartStream(int aStatus, const Headers& aHeaders);
  /// Sends a part. Precondition: StartStream was called.
  void SendPart(std::string_view aPart);
  /// Ends a streamed answer well.
  void EndStream();
  /// Closes the connection without a proper end, so that the caller sees the answer as cut.
  void Abort();
  /// Closes the connection once this answer is sent. Call before Reply or StartStream.
  void CloseAfterwards() { m_close = true; }
  /// Bytes waiting to be taken by the caller.
  size_t UnsentBytes() const;
  /// Calls back once if the caller goes before the answer has ended.
  void OnGone(std::function<void()> aCallback) { m_onGone = std::move(aCallback); }

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
  bool m_answered = false;
  bool m_finished = false;
  bool m_close = false;
  std::function<void()> m_onGone;
};

/// Shared between the server and whoever answers.
using ExchangePtr = std::shared_ptr<ServerExchange>;

/// An HTTP server on libevhtp. Belongs to the thread of its loop.
class HttpServer {
public:
  /// Hands each whole request to `aHandler`.
  HttpServer(EventLoop& aLoop,
             HttpServerSettings aSettings,
             std::function<void(ExchangePtr)> aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  HttpServer(HttpServer&&) = delete;
  HttpServer& operator=(HttpServer&&) = delete;

  /// Starts to listen; false when the address cannot be had.
  bool Listen();
  /// Takes no new connections; those there go on.
  void StopListening();
  /// Closes the connections on which no request is under way and nothing waits to be sent.
  void CloseIdle();
  /// Connections open now.
  size_t Connections() const { return m_connections.size(); }

private:
  struct ConnectionState;

  static uint16_t OnAccept(evhtp_connection* aConnection, void* aSelf);
  static uint16_t OnStart(evhtp_request* aRequest, void* aSelf);
  static uint16_t OnHeader(evhtp_request* aRequest, evhtp_kv* aLine, void* aSelf);
  static uint16_t OnHeaders(evhtp_request* aRequest, evhtp_kvs* aLines, void* aSelf);
  static void OnRequest(evhtp_request* aRequest, void* aSelf);
  static uint16_t OnRequestEnd(evhtp_request* aRequest, void* aSelf);
  static uint16_t OnConnectionEnd(evhtp_connection* aConnection, void* aSelf);
  static void OnError(evhtp_request* aRequest, uint8_t aWhat, void* aSelf);

  ConnectionState* StateOf(evhtp_connection* aConnection);
  void Refuse(evhtp_connection* aConnection, int aStatus, std::string_view aReason);

  EventLoop& m_loop;
  HttpServerSettings m_settings;
  std::function<void(ExchangePtr)> m_handler;
  evhtp* m_server;
  bool m_listening = false;
  std::unordered_map<evhtp_connection*, std::unique_ptr<ConnectionState>> m_connections;
};

} // namespace papayafield::adapters::http
