#pragma once

#include "adapters/http1/Listener.h"
#include "base/EnumNames.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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
  /// Sends nothing for a while after one half and after three quarters of a stream.
  PauseStreams,
  /// Runs calls and responds with 503, without stating that they were not executed.
  FailAsRefusal,
  /// Responds only after a while.
  RespondLate,
  /// Runs calls and sends given bytes in place of some responses.
  SendRaw,
};

/// A call that a runner executed.
struct ExecutedCall {
  std::string m_attemptId;
  std::string m_runner;
  std::string m_team;
  /// Value of the Papayafield-Request-Priority field; empty if there was none.
  std::string m_priority;
  /// Id of the event after which a stream was resumed; empty if it started at the beginning.
  std::string m_lastEventId;
  /// Whether an earlier call had been executed on the same connection.
  bool m_isReusedConnection = false;
  /// Version of the runner's software.
  std::string m_version;
};

/// A call that reached a runner, whether or not it ran.
struct Arrival {
  std::string m_attemptId;
  std::string m_runner;
  /// Start time of the runner's incarnation that the call reached.
  int64_t m_born = 0;
  base::TimePoint m_time;
};

/// What a runner states about itself in its answers.
struct RunnerSignals {
  /// Whether it states that it is about to stop.
  bool m_leaving = false;
  /// Values of the Retry-After fields of its 503 answers.
  std::vector<std::string> m_retryAfter;
  /// Value of the Server-Brittle field of all its answers; empty if they have none.
  std::string m_brittle;
};

/// What a runner can process.
struct RunnerCapacity {
  /// Calls that it runs at a time, the others wait; 0 means any number.
  size_t m_slots = 0;
  /// Calls that may wait; more are rejected with 503.
  size_t m_queue = 0;
  base::Millis m_processingTime{ 10 };
  /// Rejections per second above which it crashes; nullopt if it never does.
  std::optional<size_t> m_maxRejections;
};

/// An answer in which a runner stated something about itself.
struct SignalledAnswer {
  std::string m_runner;
  int64_t m_born = 0;
  int m_status = 0;
  RunnerSignals m_signals;
  base::TimePoint m_time;
};

/// Bytes that a runner sends in place of a response.
struct RawResponse {
  /// `{id}` stands for the attempt id, `{fields}` for the fields that a proper response has.
  std::string m_bytes;
  /// Sent again and again after that, until the caller closes the connection; empty if nothing is.
  std::string m_repeated;
  /// Targets that begin with this text get these bytes.
  std::string m_targetPrefix = "/";
  /// One of this many calls to these targets gets these bytes; the others get a proper response.
  int m_oneIn = 1;
};

/// A prompt part on which a runner crashes when it begins to answer.
struct DeadlyPart {
  /// Empty if there is none.
  std::string m_id;
  /// Time after a crash in which the runner refuses connections.
  base::Millis m_downtime{ 2000 };
};

/// A call with the deadly part that reached a runner, or a crash of a runner.
struct DeadlyEvent {
  std::string m_runner;
  std::string m_attemptId;
  /// Time in Unix milliseconds.
  int64_t m_atMs = 0;
};

/// Record of the calls to all runners.
struct CallLog {
  std::vector<Arrival> m_arrivals;
  std::vector<SignalledAnswer> m_signalledAnswers;
  std::vector<ExecutedCall> m_executedCalls;
  /// Attempt ids of calls whose connection was closed before the response was complete.
  std::vector<std::string> m_interruptedCalls;
  /// Calls that were rejected for want of room.
  std::vector<Arrival> m_rejections;
  /// Calls with the deadly part, and all crashes.
  std::vector<DeadlyEvent> m_deadlyCalls;
  std::vector<DeadlyEvent> m_crashes;
};

/// Simulates an endpoint that sends plain responses, and event streams for paths below /stream/.
/// The query of a request can ask for a truncated response: `cut` is the number of bytes after
/// which the connection ends unless the response is complete, `framing` is `length`, `chunks` or
/// `none`, and `end` is `fin` or `reset`. For a stream it can ask for another number of events
/// (`events`) and another delay between them (`every_ms`); these events state the runner and the
/// version that sent them. Must be used only on the thread of the event loop.
class Runner {
public:
  /// Number of events of a stream.
  static constexpr int kEventsPerStream = 12;

  /// Listens on `aAddress` as instance `aId` and appends its calls to `aCallLog`. `aOnRestart` is
  /// called when the runner is back after a crash.
  Runner(adapters::http::EventLoop& aLoop,
         const base::Address& aAddress,
         std::string aId,
         CallLog& aCallLog,
         const DeadlyPart& aDeadlyPart,
         std::function<void()> aOnRestart);

  bool Listening() const { return m_listener != nullptr && m_listener->Listening(); }
  const std::string& Id() const { return m_id; }
  const base::Address& ListenAddress() const { return m_address; }
  void SetMode(RunnerMode aMode) { m_mode = aMode; }
  /// Sets what the mode SendRaw sends.
  void SetRawResponse(RawResponse aResponse) { m_rawResponse = std::move(aResponse); }
  void SetSignals(RunnerSignals aSignals) { m_signals = std::move(aSignals); }
  /// Sets what the runner can process from the next call on.
  void SetCapacity(RunnerCapacity aCapacity) { m_capacity = aCapacity; }
  const RunnerCapacity& Capacity() const { return m_capacity; }
  /// Start time that the runner registers; another one makes it a new incarnation.
  int64_t Born() const { return m_born; }
  /// Version of its software that the runner registers.
  const std::string& Version() const { return m_version; }
  void SetVersion(std::string aVersion) { m_version = std::move(aVersion); }
  void SetBorn(int64_t aBorn) { m_born = aBorn; }
  /// Sets the id; must be called only while the runner is stopped.
  void SetId(std::string aId) { m_id = std::move(aId); }
  /// Ends all connections and stops listening, as the exit of a process does.
  void Stop();
  /// Listens again after Stop, as a new incarnation. Does nothing if it already listens.
  void Start();

private:
  struct CallerConnection;

  void Listen();
  bool HasDeadlyPart(const adapters::http1::RequestHead& aHead) const;
  void RecordDeadlyCall(const adapters::http1::RequestHead& aHead);
  void Crash(const std::string& aAttemptId);
  void AcceptConnection(std::shared_ptr<adapters::http1::ServerConnection> aConnection);
  void OnCall(const std::shared_ptr<CallerConnection>& aCallerConnection);
  void StartProcessing(const std::shared_ptr<CallerConnection>& aCallerConnection);
  /// Frees the slot of a call, if it has one, for the one that has waited longest.
  void EndProcessing(CallerConnection& aCallerConnection);
  void RejectForRoom(const std::shared_ptr<CallerConnection>& aCallerConnection);
  void Respond(const std::shared_ptr<CallerConnection>& aCallerConnection);
  void AddSignals(adapters::http1::ResponseHead& aHead) const;
  void RespondTruncated(const std::shared_ptr<CallerConnection>& aCallerConnection);
  bool TakesRawResponse(const adapters::http1::RequestHead& aHead);
  void RespondRaw(const std::shared_ptr<CallerConnection>& aCallerConnection) const;
  void SendNextEvent(const std::shared_ptr<CallerConnection>& aCallerConnection, int aEvent);
  /// Returns the delay between event `aEvent` of a stream and the next one.
  base::Millis DelayAfterEvent(int aEvent) const;
  /// Returns event `aEvent` of the stream that `aTarget` asks for.
  std::string MakeEvent(const std::string& aTarget, int aEvent) const;

  adapters::http::EventLoop& m_loop;
  base::Address m_address;
  std::string m_id;
  CallLog& m_callLog;
  const DeadlyPart& m_deadlyPart;
  std::function<void()> m_onRestart;
  RunnerMode m_mode = RunnerMode::Ok;
  RawResponse m_rawResponse;
  /// Number of calls that got a response in the mode SendRaw.
  int m_rawCalls = 0;
  RunnerSignals m_signals;
  RunnerCapacity m_capacity;
  size_t m_running = 0;
  std::deque<std::weak_ptr<CallerConnection>> m_waiting;
  /// Times of the latest rejections for want of room.
  std::deque<base::TimePoint> m_rejections;
  int64_t m_born = 1;
  std::string m_version = "v1";
  std::set<std::shared_ptr<CallerConnection>> m_callerConnections;
  /// Null after a crash.
  std::unique_ptr<adapters::http1::Listener> m_listener;
  adapters::http::EventHandlePtr m_restartTimer;
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
    { standins::RunnerMode::PauseStreams, "pause" },
    { standins::RunnerMode::RespondLate, "late" },
    { standins::RunnerMode::FailAsRefusal, "fail_503" },
    { standins::RunnerMode::SendRaw, "raw" },
  });

} // namespace papayafield::base
