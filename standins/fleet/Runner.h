#pragma once

#include "adapters/http1/Listener.h"
#include "base/EnumNames.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace papayafield::standins {

/// How a runner treats calls.
enum class RunnerMode {
  Ok,
  /// Takes calls and never answers.
  Hang,
  /// Runs calls and closes the connection without an answer.
  LoseAnswers,
  /// Says that it does not run calls.
  Shed,
  /// Runs calls and answers 500.
  Fail,
  /// Breaks streams off in the middle of an event.
  Cut,
  /// Sends the first half of a stream and then nothing more.
  Stall,
};

/// What a runner has run.
struct Run {
  std::string m_call;
  std::string m_runner;
  std::string m_team;
  /// Where a stream went on; empty at its start.
  std::string m_lastEvent;
};

/// What all runners have seen.
struct Seen {
  std::vector<Run> m_runs;
  /// Calls whose connection was closed while a runner was at work on them.
  std::vector<std::string> m_cutOff;
};

/// An endpoint: plain answers, and streams on paths under /stream/. Belongs to the thread of the
/// loop.
class Runner {
public:
  /// Events of one stream.
  static constexpr int kEvents = 12;

  /// Serves at `aAddress` as `aId`; what it sees is added to `aSeen`.
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
