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
  LoseAnswers,
  /// Rejects calls with 503 and states that they were not executed.
  Shed,
  /// Runs calls and responds with 500.
  Fail,
  /// Closes the connection of a stream in the middle of an event.
  Cut,
  /// Sends the first half of a stream and then stalls without closing it.
  Stall,
};

/// A call that a runner executed.
struct Run {
  std::string m_call;
  std::string m_runner;
  std::string m_team;
  /// Id of the event after which a stream was resumed; empty if it started at the beginning.
  std::string m_lastEvent;
};

/// Record of the calls to all runners.
struct Seen {
  std::vector<Run> m_runs;
  /// Attempt ids of calls whose connection was closed before the response was complete.
  std::vector<std::string> m_cutOff;
};

/// Simulates an endpoint that sends plain responses, and event streams for paths below /stream/.
/// Must be used only on the thread of the event loop.
class Runner {
public:
  /// Number of events of a stream.
  static constexpr int kEvents = 12;

  /// Listens on `aAddress` as instance `aId` and appends its calls to `aSeen`.
  Runner(adapters::http::EventLoop& aLoop,
         const base::Address& aAddress,
         std::string aId,
         Seen& aSeen);

  bool Listening() const { return m_listener.Listening(); }
  const std::string& Id() const { return m_id; }
  const base::Address& At() const { return m_address; }
  void SetMode(RunnerMode aMode) { m_mode = aMode; }

private:
  struct Caller;

  void Take(std::shared_ptr<adapters::http1::ServerConnection> aConnection);
  void Answer(const std::shared_ptr<Caller>& aCaller);
  void StreamNext(const std::shared_ptr<Caller>& aCaller, int aEvent);

  adapters::http::EventLoop& m_loop;
  base::Address m_address;
  std::string m_id;
  Seen& m_seen;
  RunnerMode m_mode = RunnerMode::Ok;
  std::set<std::shared_ptr<Caller>> m_callers;
  adapters::http1::Listener m_listener;
};

} // namespace papayafield::standins

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<standins::RunnerMode> =
  std::to_array<EnumName<standins::RunnerMode>>({
    { standins::RunnerMode::Ok, "ok" },
    { standins::RunnerMode::Hang, "hang" },
    { standins::RunnerMode::LoseAnswers, "lose_answers" },
    { standins::RunnerMode::Shed, "shed" },
    { standins::RunnerMode::Fail, "fail" },
    { standins::RunnerMode::Cut, "cut" },
    { standins::RunnerMode::Stall, "stall" },
  });

} // namespace papayafield::base
