#pragma once

#include "adapters/http/HttpTypes.h"
#include "base/Time.h"
#include "requests/Outcome.h"

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayafield::gateway {

/// What a claimed call gave.
struct RunResult {
  /// Status code, headers and body for the caller.
  adapters::http::HttpResponse m_answer;
};

/// The calls of this process that carry an idempotency key: those in flight, which a second asker
/// joins, and the answers kept for a caller that asks again. Bounded; the oldest finished go first.
/// Belongs to the gateway's thread.
class RunTable {
public:
  /// Takes the answer of a run.
  using Joiner = std::function<void(const RunResult&)>;

  /// Keeps at most `aCapacity` finished runs.
  explicit RunTable(size_t aCapacity);

  /// Whether `aKey` is in flight or kept.
  bool Knows(const std::string& aKey) const { return m_runs.contains(aKey); }
  /// Notes that a run of `aKey` begins. Precondition: it is not known.
  void Begin(const std::string& aKey);
  /// Hands the answer of `aKey` to `aJoiner`, now or when it comes. Precondition: it is known.
  void Join(const std::string& aKey, Joiner aJoiner);
  /// The run has ended: its answer goes to all who joined, and is kept.
  void Finish(const std::string& aKey, RunResult aResult);
  /// The run has ended as not run: those who joined are told, and the key may be tried again.
  void Forget(const std::string& aKey, const RunResult& aResult);

private:
  struct Run {
    std::shared_ptr<const RunResult> m_result;
    std::vector<Joiner> m_joiners;
  };

  size_t m_capacity;
  std::unordered_map<std::string, Run> m_runs;
  std::list<std::string> m_finished;
};

} // namespace papayafield::gateway
