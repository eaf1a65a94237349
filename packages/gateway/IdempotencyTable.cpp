#include "gateway/IdempotencyTable.h"

#include <cassert>

namespace papayafield::gateway {

IdempotencyTable::IdempotencyTable(size_t aCapacity)
  : m_capacity(aCapacity) {}

void IdempotencyTable::Begin(const std::string& aKey) {
  assert(!Contains(aKey));
  m_runs.emplace(aKey, Run{});
}

void IdempotencyTable::Join(const std::string& aKey, ResultCallback aCallback) {
  Run& run = m_runs.at(aKey);
  if (run.m_result != nullptr) {
    aCallback(*run.m_result);
    return;
  }
  run.m_callbacks.push_back(std::move(aCallback));
}

void IdempotencyTable::Finish(const std::string& aKey, RunResult aResult) {
  const auto found = m_runs.find(aKey);
  if (found == m_runs.end()) {
    return;
  }
  found->second.m_result = std::make_shared<const RunResult>(std::move(aResult));
  const auto result = found->second.m_result;
  const auto callbacks = std::exchange(found->second.m_callbacks, {});
  // Evict the oldest results beyond the capacity.
  m_finishedKeys.push_back(aKey);
  while (m_finishedKeys.size() > m_capacity) {
    m_runs.erase(m_finishedKeys.front());
    m_finishedKeys.pop_front();
  }
  for (const ResultCallback& callback : callbacks) {
    callback(*result);
  }
}

void IdempotencyTable::Remove(const std::string& aKey, const RunResult& aResult) {
  const auto found = m_runs.find(aKey);
  if (found == m_runs.end()) {
    return;
  }
  const auto callbacks = std::move(found->second.m_callbacks);
  m_runs.erase(found);
  for (const ResultCallback& callback : callbacks) {
    callback(aResult);
  }
}

} // namespace papayafield::gateway
