#pragma once

#include "adapters/http/HttpClient.h"

struct evhttp_connection;
struct evhttp_request;

namespace papayafield::adapters::http {

/// One HTTP request on a connection of its own. Internal to HttpClient.
class Transfer : public std::enable_shared_from_this<Transfer> {
public:
  /// Prepares a transfer for `aClient`.
  Transfer(HttpClient& aClient, HttpRequest aRequest, TransferEvents aEvents);
  ~Transfer();
  Transfer(const Transfer&) = delete;
  Transfer& operator=(const Transfer&) = delete;
  Transfer(Transfer&&) = delete;
  Transfer& operator=(Transfer&&) = delete;

  /// Connects and sends the request. Must be called only once.
  void Begin();
  /// Ends the transfer without calling a callback.
  void Cancel();

private:
  static int OnHead(evhttp_request* aRequest, void* aSelf);
  static void OnChunk(evhttp_request* aRequest, void* aSelf);
  static void OnComplete(evhttp_request* aRequest, void* aSelf);

  bool IsConnected() const;
  void OnConnectTimeout();
  void CheckIdle();
  void Fail(TransferFault aFault);
  void Finish();
  void ScheduleRemoval();

  HttpClient& m_client;
  HttpRequest m_request;
  TransferEvents m_events;
  evhttp_connection* m_connection = nullptr;
  bool m_sawHead = false;
  bool m_ended = false;
  size_t m_bodyBytes = 0;
  base::TimePoint m_lastActivity;
  EventHandlePtr m_connectTimer;
  EventHandlePtr m_idleTimer;
  EventHandlePtr m_totalTimer;
};

} // namespace papayafield::adapters::http
