#include "gateway/IdempotencyTable.h"

#include <cassert>

namespace papayafield::gateway {

IdempotencyTable::IdempotencyTable(size_t aCapacity)
  : m_capacity(aCapacity) {}

void IdempotencyTable::Begin(const std::string& aKey) {
  assert(!Knows(aKey));
  m_runs.emplace(aKey, Run{});
}

void IdempotencyTable::Join(const std::string& aKey, Joiner aJoiner) {
  Run& run = m_runs.at(aKey);
  if (run.m_result != nullptr) {
    aJoiner(*run.m_result);
    return;
  }
  run.m_joiners.push_back(std::move(aJoiner));
}

void IdempotencyTable::Finish(const std::string& aKey, RunResult aResult) {
  const auto found = m_runs.find(aKey);
  if (found == m_runs.end()) {
    return;
  }
  found->second.m_result = std::make_shared<const RunResult>(std::move(aResult));
  const auto result = found->second.m_result;
  const auto joiners = std::exchange(found->second.m_joiners, {});
  // Evict the oldest results beyond the capacity.
  m_finished.push_back(aKey);
  while (m_finished.size() > m_capacity) {
    m_runs.erase(m_finished.front());
    m_finished.pop_front();
  }
  for (const Joiner& joiner : joiners) {
    joiner(*result);
  }
}

void IdempotencyTable::Forget(const std::string& aKey, const RunResult& aResult) {
  const auto found = m_runs.find(aKey);
  if (found == m_runs.end()) {
    return;
  }
  const auto joiners = std::move(found->second.m_joiners);
  m_runs.erase(found);
  for (const Joiner& joiner : joiners) {
    joiner(aResult);
  }
}

} // namespace papayafield::gateway
