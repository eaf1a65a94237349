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

/// The result of a call that carries an idempotency key.
struct RunResult {
  /// Status code, headers and body of the response to the caller.
  adapters::http::HttpResponse m_answer;
};

/// The calls of this process that carry an idempotency key: runs in flight, which further requests
/// with the same key join, and results kept for callers that repeat a request. The number of kept
/// results is bounded; the oldest are evicted first. Must only be used on the gateway thread.
class IdempotencyTable {
public:
  /// Receives the result of a run.
  using ResultCallback = std::function<void(const RunResult&)>;

  /// Creates an empty table that keeps at most `aCapacity` finished runs.
  explicit IdempotencyTable(size_t aCapacity);

  /// Returns whether a run of `aKey` is in flight or its result is kept.
  bool Contains(const std::string& aKey) const { return m_runs.contains(aKey); }
  /// Adds a run of `aKey`. Precondition: the table does not contain `aKey`.
  void Begin(const std::string& aKey);
  /// Calls `aCallback` with the result of `aKey`, immediately if the run has finished, else when it
  /// finishes. Precondition: the table contains `aKey`.
  void Join(const std::string& aKey, ResultCallback aCallback);
  /// Ends the run, passes its result to all joiners and keeps it.
  void Finish(const std::string& aKey, RunResult aResult);
  /// Removes the run, so that the key can be used again, and passes `aResult` to all joiners. Used
  /// if the call was not run or its result is not kept here.
  void Remove(const std::string& aKey, const RunResult& aResult);

private:
  struct Run {
    std::shared_ptr<const RunResult> m_result;
    std::vector<ResultCallback> m_callbacks;
  };

  size_t m_capacity;
  std::unordered_map<std::string, Run> m_runs;
  std::list<std::string> m_finishedKeys;
};

} // namespace papayafield::gateway
