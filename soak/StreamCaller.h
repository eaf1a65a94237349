#pragma once

#include "soak/Caller.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayafield::soak {

/// An event as a caller received it.
struct StreamEvent {
  int m_number = 0;
  std::string m_endpoint;
  std::string m_version;
  base::TimePoint m_receivedAt{};
};

/// One try of a caller to begin a stream or to resume it.
struct StreamTry {
  std::string m_id;
  base::Address m_node;
  base::TimePoint m_sentAt{};
  base::TimePoint m_endedAt{};
  /// HTTP status; 0 if no head was received.
  int m_status = 0;
  CallEnd m_end = CallEnd::Answered;
  /// Whether the caller closed the connection itself, as a caller whose network is lost does.
  bool m_wasAbandoned = false;
  /// Number of the last event that the caller had before; 0 if it begins the stream.
  int m_lastEvent = 0;
  std::vector<StreamEvent> m_events;
};

/// A stream over all tries of its caller.
struct StreamRecord {
  /// Number of events of the complete stream.
  int m_eventCount = 0;
  std::vector<StreamTry> m_tries;
  bool m_isComplete = false;
};

/// Requests streams one after another, each on a new connection, and resumes those that break off
/// at another node, with Last-Event-Id and Resumes. Abandons some connections in the middle of a
/// stream. Must be used only on the thread of the event loop.
class StreamCaller {
public:
  /// Time for which a caller waits for the next event of a stream whose route declares no pause.
  static constexpr base::Millis kMaxGap{ 2000 };
  /// Time for which a caller waits for the next event on other routes.
  static constexpr base::Millis kMaxLongGap{ 4800 };

  /// `aLoop` must outlive the object.
  StreamCaller(adapters::http::EventLoop& aLoop,
               uint64_t aSeed,
               std::string aName,
               Caller::AddressProvider aAddressProvider);
  ~StreamCaller();
  StreamCaller(const StreamCaller&) = delete;
  StreamCaller& operator=(const StreamCaller&) = delete;
  StreamCaller(StreamCaller&&) = delete;
  StreamCaller& operator=(StreamCaller&&) = delete;

  /// Requests the first stream; each further one follows when the previous one has ended.
  void Start();
  /// Requests no further streams; a stream in flight still continues.
  void Stop() { m_stopped = true; }
  /// Returns whether no stream is in flight.
  bool IsIdle() const { return !m_streamInFlight; }
  /// Returns the records of all streams that have ended.
  const std::vector<StreamRecord>& Records() const { return m_records; }

private:
  void BeginStream();
  void SendTry();
  base::Address ChooseNode();
  void OnBody(std::string_view aBytes);
  void AddEvent(std::string_view aText);
  void EndTry(CallEnd aEnd);
  void EndStream();
  void ArmGapTimer();
  int LastEvent() const;
  /// Returns the id of the try that brought the first event; empty if there is none.
  std::string FirstTry() const;
  uint64_t RandomNumber(uint64_t aMin, uint64_t aMax) {
    return aMin + m_random() % (aMax - aMin + 1);
  }

  adapters::http::EventLoop& m_loop;
  std::mt19937_64 m_random;
  std::string m_name;
  Caller::AddressProvider m_addressProvider;
  StreamRecord m_stream;
  std::string m_target;
  base::Millis m_maxGap{ 0 };
  base::TimePoint m_deadline{};
  /// Number of the event after which the caller abandons its connection; 0 if it does not.
  int m_abandonAfter = 0;
  std::set<std::string> m_failedNodes;
  double m_retryAfterSeconds = 0;
  std::string m_buffer;
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  adapters::http::EventHandlePtr m_connectTimer;
  adapters::http::EventHandlePtr m_gapTimer;
  adapters::http::EventHandlePtr m_nextTimer;
  bool m_streamInFlight = false;
  bool m_stopped = false;
  std::vector<StreamRecord> m_records;
};

} // namespace papayafield::soak
