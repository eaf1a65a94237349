#pragma once

#include "adapters/http1/Listener.h"
#include "base/EnumNames.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace papayafield::standins {

/// Determines how a runner handles calls.
enum class RunnerMode {
  Ok,
  /// Accepts calls and never responds.
  Hang,
  /// Runs calls and closes the connection without a response.
  DropResponses,
  /// Rejects calls with 503 and states that they were not executed.
  Shed,
  /// Like Shed, without the attempt id in the response.
  ShedWithoutId,
  /// Runs calls, but first repeats the rejection of an earlier call on connections that have served
  /// one.
  RepeatRejection,
  /// Like RepeatRejection, without the attempt id in the rejection.
  RepeatRejectionWithoutId,
  /// Runs calls and responds with 500.
  Fail,
  /// Closes the connection of a stream in the middle of an event.
  TruncateStreams,
  /// Starts resumed streams at their first event again.
  RestartStreams,
  /// Omits an event where a stream is resumed.
  SkipEvents,
  /// Responds to streams with a signed text that is no stream.
  PlainStreams,
  /// Responds with a stream that states that the call was not executed.
  ContradictStreams,
  /// Like TruncateStreams, with events that have no id.
  TruncateUnnumberedStreams,
  /// Sends the first half of a stream and then stalls without closing it.
  StallStreams,
  /// Sends the events of a stream slowly, within the route's gap target.
  SlowStreams,
};

/// A call that a runner executed.
struct ExecutedCall {
  std::string m_attemptId;
  std::string m_runner;
  std::string m_team;
  /// Id of the event after which a stream was resumed; empty if it started at the beginning.
  std::string m_lastEventId;
};

/// Record of the calls to all runners.
struct CallLog {
  std::vector<ExecutedCall> m_executedCalls;
  /// Attempt ids of calls whose connection was closed before the response was complete.
  std::vector<std::string> m_interruptedCalls;
};

/// Simulates an endpoint that sends plain responses, and event streams for paths below /stream/.
/// Must be used only on the thread of the event loop.
class Runner {
public:
  /// Number of events of a stream.
  static constexpr int kEventsPerStream = 12;

  /// Listens on `aAddress` as instance `aId` and appends its calls to `aCallLog`.
  Runner(adapters::http::EventLoop& aLoop,
         const base::Address& aAddress,
         std::string aId,
         CallLog& aCallLog);

  bool Listening() const { return m_listener.Listening(); }
  const std::string& Id() const { return m_id; }
  const base::Address& ListenAddress() const { return m_address; }
  void SetMode(RunnerMode aMode) { m_mode = aMode; }

private:
  struct CallerConnection;

  void AcceptConnection(std::shared_ptr<adapters::http1::ServerConnection> aConnection);
  void Respond(const std::shared_ptr<CallerConnection>& aCallerConnection);
  void SendNextEvent(const std::shared_ptr<CallerConnection>& aCallerConnection, int aEvent);

  adapters::http::EventLoop& m_loop;
  base::Address m_address;
  std::string m_id;
  CallLog& m_callLog;
  RunnerMode m_mode = RunnerMode::Ok;
  std::set<std::shared_ptr<CallerConnection>> m_callerConnections;
  adapters::http1::Listener m_listener;
};

} // namespace papayafield::standins

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<standins::RunnerMode> =
  std::to_array<EnumName<standins::RunnerMode>>({
    { standins::RunnerMode::Ok, "ok" },
    { standins::RunnerMode::Hang, "hang" },
    { standins::RunnerMode::DropResponses, "lose_answers" },
    { standins::RunnerMode::Shed, "shed" },
    { standins::RunnerMode::ShedWithoutId, "shed_without_id" },
    { standins::RunnerMode::RepeatRejection, "repeat_rejection" },
    { standins::RunnerMode::RepeatRejectionWithoutId, "repeat_rejection_without_id" },
    { standins::RunnerMode::Fail, "fail" },
    { standins::RunnerMode::TruncateStreams, "cut" },
    { standins::RunnerMode::RestartStreams, "restart" },
    { standins::RunnerMode::SkipEvents, "skip" },
    { standins::RunnerMode::PlainStreams, "plain" },
    { standins::RunnerMode::ContradictStreams, "contradict" },
    { standins::RunnerMode::TruncateUnnumberedStreams, "cut_unnumbered" },
    { standins::RunnerMode::StallStreams, "stall" },
    { standins::RunnerMode::SlowStreams, "slow" },
  });

} // namespace papayafield::base
