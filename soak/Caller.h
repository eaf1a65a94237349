#pragma once

#include "adapters/http1/Connection.h"
#include "base/EnumNames.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace papayafield::soak {

/// How a call ended for its caller.
enum class CallEnd {
  /// A complete answer was received.
  Answered,
  /// The node closed the connection before the answer was complete.
  Closed,
  /// The connection could not be established, so that no byte was sent.
  NotConnected,
  /// No complete answer was received until after the deadline of the call.
  TimedOut,
  /// The node sent bytes that are no answer.
  Malformed,
};

/// A call and the response that the caller received.
struct CallRecord {
  std::string m_id;
  std::string m_target;
  /// HTTP status; 0 if no complete answer was received.
  int m_status = 0;
  std::string m_body;
  CallEnd m_end = CallEnd::Answered;
  /// When the last byte of the request was sent.
  base::TimePoint m_sentAt{};
  base::TimePoint m_endedAt{};
  /// Address of the node that the call was sent to.
  base::Address m_node;
  /// Whether the connection had carried an earlier call.
  bool m_connectionWasUsed = false;
  /// The call whose stream this one resumes, and the last event that the caller had; empty if it
  /// begins at the start.
  std::string m_resumes;
  int m_lastEvent = 0;
  /// Whether the head of an answer was received.
  bool m_answerBegan = false;
  /// Number of the configuration whose host the call was sent to; 0 for the host that is part of
  /// all configurations.
  int m_configuration = 0;
  /// Number of the newest configuration when the call ended.
  int m_newestConfiguration = 0;
};

/// Behaviour of a caller.
struct CallerSettings {
  /// Deadline that the caller sends with its calls, in milliseconds.
  base::Millis m_answerTimeout{ 6000 };
  /// Time for which the caller waits for an answer beyond the deadline, in milliseconds.
  base::Millis m_extraWait{ 0 };
  /// Maximum pause between two calls, in milliseconds.
  base::Millis m_maxPause{ 15 };
  bool m_sendsOnlyStreams = false;
};

/// Sends calls sequentially over a connection that it reuses as long as the server keeps it open.
/// Must be used only on the thread of the event loop.
class Caller {
public:
  /// Returns the addresses that a caller may currently connect to.
  using AddressProvider = std::function<std::vector<base::Address>()>;
  /// Returns the number of the newest configuration that was written; 0 if there is none.
  using ConfigurationProvider = std::function<int()>;

  Caller(adapters::http::EventLoop& aLoop,
         uint64_t aSeed,
         std::string aName,
         CallerSettings aSettings,
         AddressProvider aAddressProvider,
         ConfigurationProvider aConfigurationProvider);
  ~Caller();
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;
  Caller(Caller&&) = delete;
  Caller& operator=(Caller&&) = delete;

  /// Sends the next call unless a call is in flight or the caller is stopped.
  void SendNext();
  /// Stops sending calls; a call in flight is still completed.
  void Stop() { m_stopped = true; }
  /// Returns whether no call is in flight.
  bool IsIdle() const { return !m_callInFlight; }
  /// Returns the records of all completed calls.
  const std::vector<CallRecord>& Records() const { return m_records; }

private:
  void Connect();
  std::string ChooseKind();
  /// Lets the next call resume the stream of the previous one, if that broke off after an event.
  void ResumeBrokenStream();
  void CompleteCall(CallEnd aEnd);

  adapters::http::EventLoop& m_loop;
  std::mt19937_64 m_random;
  std::string m_name;
  CallerSettings m_settings;
  AddressProvider m_addressProvider;
  ConfigurationProvider m_configurationProvider;
  std::shared_ptr<adapters::http1::ClientConnection> m_connection;
  base::Address m_node;
  adapters::http::EventHandlePtr m_timeoutTimer;
  adapters::http::EventHandlePtr m_pauseTimer;
  CallRecord m_currentCall;
  bool m_callInFlight = false;
  bool m_stopped = false;
  std::vector<CallRecord> m_records;
};

} // namespace papayafield::soak

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<soak::CallEnd> = std::to_array<EnumName<soak::CallEnd>>({
  { soak::CallEnd::Answered, "answered" },
  { soak::CallEnd::Closed, "closed" },
  { soak::CallEnd::NotConnected, "not_connected" },
  { soak::CallEnd::TimedOut, "timed_out" },
  { soak::CallEnd::Malformed, "malformed" },
});

} // namespace papayafield::base
