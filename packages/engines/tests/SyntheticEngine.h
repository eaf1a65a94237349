#pragma once

#include <algorithm>
#include <deque>
#include <utility>
#include <vector>

/// \file
/// An engine without a network, for tests of what answers show about its speed.

namespace papayafield::engines {

/// A call at a synthetic engine. Times are in milliseconds since the start of the test.
struct SyntheticCall {
  double m_sentMs = 0;
  /// Prompt tokens that the engine reads, and those of them that it cannot have cached.
  double m_readTokens = 0;
  double m_ownTokens = 0;
  int m_outputTokens = 0;
  /// Open calls at the engine when the call was sent, including it.
  double m_openCalls = 0;
  /// Whether the test's node sent it; other calls are those of its peers.
  bool m_isLocal = true;
};

/// An event of a stream.
struct SyntheticEvent {
  double m_atMs = 0;
  /// Time since the previous event of the call; negative at the first one.
  double m_gapMs = -1;
  bool m_isLast = false;
  SyntheticCall m_call;
};

/// Runs a number of calls concurrently. Reads the prompts in order of arrival in chunks, and after
/// each chunk makes a step that gives each running call a token.
class SyntheticEngine {
public:
  struct Settings {
    double m_tokensPerMs = 56.9;
    double m_stepMs = 3.09;
    double m_stepMsPerCall = 0.102;
    size_t m_slots = 64;
    double m_chunkTokens = 4000;
  };

  explicit SyntheticEngine(Settings aSettings)
    : m_settings(aSettings) {}

  /// Divides the speed of reading and of steps by `aFactor` from now on.
  void SlowDown(double aFactor) {
    m_settings.m_tokensPerMs /= aFactor;
    m_settings.m_stepMs *= aFactor;
    m_settings.m_stepMsPerCall *= aFactor;
  }
  void Submit(const SyntheticCall& aCall) {
    m_waiting.push_back(aCall);
    ++m_open;
  }
  size_t OpenCalls() const { return m_open; }
  /// Returns the events up to `aNowMs`, in the order of time.
  std::vector<SyntheticEvent> AdvanceTo(double aNowMs) {
    while (m_nowMs <= aNowMs && (!m_running.empty() || !m_waiting.empty())) {
      RunStep();
    }
    std::vector<SyntheticEvent> events;
    while (!m_events.empty() && m_events.front().m_atMs <= aNowMs) {
      events.push_back(m_events.front());
      m_events.pop_front();
      m_open -= events.back().m_isLast ? 1 : 0;
    }
    return events;
  }

private:
  struct Running {
    SyntheticCall m_call;
    double m_unread = 0;
    int m_tokensLeft = 0;
    double m_lastEventMs = -1;
  };

  void RunStep() {
    if (m_running.empty() && !m_waiting.empty()) {
      m_nowMs = std::max(m_nowMs, m_waiting.front().m_sentMs);
    }
    while (!m_waiting.empty() && m_running.size() < m_settings.m_slots &&
           m_waiting.front().m_sentMs <= m_nowMs) {
      const SyntheticCall& call = m_waiting.front();
      m_running.push_back({ call, call.m_readTokens, std::max(call.m_outputTokens, 1), -1 });
      m_waiting.pop_front();
    }
    double chunk = m_settings.m_chunkTokens;
    for (Running& running : m_running) {
      const double read = std::min(chunk, running.m_unread);
      running.m_unread -= read;
      chunk -= read;
      m_nowMs += read / m_settings.m_tokensPerMs;
    }
    m_nowMs +=
      m_settings.m_stepMs + m_settings.m_stepMsPerCall * static_cast<double>(m_running.size());
    for (Running& running : m_running) {
      if (running.m_unread <= 0) {
        --running.m_tokensLeft;
        const double gap = running.m_lastEventMs < 0 ? -1 : m_nowMs - running.m_lastEventMs;
        running.m_lastEventMs = m_nowMs;
        m_events.push_back({ m_nowMs, gap, running.m_tokensLeft == 0, running.m_call });
      }
    }
    std::erase_if(m_running, [](const Running& aRunning) { return aRunning.m_tokensLeft == 0; });
  }

  Settings m_settings;
  double m_nowMs = 0;
  size_t m_open = 0;
  std::deque<SyntheticCall> m_waiting;
  std::vector<Running> m_running;
  std::deque<SyntheticEvent> m_events;
};

} // namespace papayafield::engines
