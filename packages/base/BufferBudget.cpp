#include "base/BufferBudget.h"

#include <algorithm>
#include <list>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace papayafield::base {

struct BufferBudget::State {
  using Entry = Claim::Entry;

  /// Sets the size of the buffer of `aEntry`, and lists it if it holds bytes.
  void SetBytes(const std::shared_ptr<Entry>& aEntry, size_t aBytes);
  /// Returns the answer to drop first; null if there is none.
  std::shared_ptr<Entry> SelectAnswer() const;
  /// Returns the buffer to drop; null if the limit holds or nothing may be dropped.
  std::shared_ptr<Entry> SelectVictim() const;
  /// Returns how many bytes requests may hold.
  size_t MaxRequestBytes() const { return m_settings.m_maxBytes / 4 * 3; }

  BufferBudgetSettings m_settings;
  /// Sum over all buffers.
  size_t m_usedBytes = 0;
  /// Sums over requests, which are part of `m_usedBytes`.
  size_t m_incompleteBytes = 0;
  size_t m_pinnedBytes = 0;
  uint64_t m_dropCount = 0;
  uint64_t m_requestDropCount = 0;
  /// Sum over the answers of each owner; owners that hold nothing are left out.
  std::map<std::string, size_t> m_bytesByOwner;
  /// Answers that hold bytes.
  std::set<std::shared_ptr<Entry>> m_entries;
  /// Incomplete requests that hold bytes, in the order of their last growth. A change costs
  /// constant time, however many there are.
  std::list<std::shared_ptr<Entry>> m_incomplete;
};

struct BufferBudget::Claim::Entry {
  std::shared_ptr<State> m_state;
  BufferInfo m_info;
  size_t m_bytes = 0;
  bool m_isDropped = false;
  bool m_isPinned = false;
  /// Place in the list of incomplete requests; valid while it holds bytes there.
  std::list<std::shared_ptr<Entry>>::iterator m_place;
};

void BufferBudget::State::SetBytes(const std::shared_ptr<Entry>& aEntry, size_t aBytes) {
  const size_t before = std::exchange(aEntry->m_bytes, aBytes);
  m_usedBytes += aBytes - before;
  if (aEntry->m_isPinned) {
    m_pinnedBytes += aBytes - before;
    return;
  }
  if (aEntry->m_info.m_kind == BufferKind::IncompleteRequest) {
    m_incompleteBytes += aBytes - before;
    if (aBytes == 0) {
      m_incomplete.erase(aEntry->m_place);
    } else if (before == 0) {
      aEntry->m_place = m_incomplete.insert(m_incomplete.end(), aEntry);
    } else if (aBytes > before) {
      m_incomplete.splice(m_incomplete.end(), m_incomplete, aEntry->m_place);
    }
    return;
  }
  size_t& ownerBytes = m_bytesByOwner[aEntry->m_info.m_owner];
  ownerBytes += aBytes - before;
  if (ownerBytes == 0) {
    m_bytesByOwner.erase(aEntry->m_info.m_owner);
  }
  if (aBytes > 0) {
    m_entries.insert(aEntry);
  } else {
    m_entries.erase(aEntry);
  }
}

std::shared_ptr<BufferBudget::Claim::Entry> BufferBudget::State::SelectAnswer() const {
  const auto owner = std::max_element(
    m_bytesByOwner.begin(), m_bytesByOwner.end(), [](const auto& aOne, const auto& aOther) {
      return aOne.second < aOther.second;
    });
  std::shared_ptr<Entry> victim;
  for (const auto& entry : m_entries) {
    if (owner == m_bytesByOwner.end() || entry->m_info.m_owner != owner->first) {
      continue;
    }
    if (victim == nullptr || std::tie(victim->m_info.m_isReplaceable, victim->m_bytes) <
                               std::tie(entry->m_info.m_isReplaceable, entry->m_bytes)) {
      victim = entry;
    }
  }
  return victim;
}

std::shared_ptr<BufferBudget::Claim::Entry> BufferBudget::State::SelectVictim() const {
  const bool isFull =
    m_usedBytes > m_settings.m_maxBytes || m_incompleteBytes + m_pinnedBytes > MaxRequestBytes();
  if (isFull && !m_incomplete.empty()) {
    // The largest request that is allowed may be larger than the limit.
    const bool isAlone = m_incomplete.front()->m_bytes == m_usedBytes;
    return isAlone ? nullptr : m_incomplete.front();
  }
  const size_t answerBytes = m_usedBytes - m_incompleteBytes - m_pinnedBytes;
  const size_t countedBytes = answerBytes + std::min(m_pinnedBytes, MaxRequestBytes());
  return countedBytes > m_settings.m_maxBytes ? SelectAnswer() : nullptr;
}

BufferBudget::Claim::Claim(std::shared_ptr<Entry> aEntry)
  : m_entry(std::move(aEntry)) {}

BufferBudget::Claim::~Claim() {
  if (m_entry != nullptr) {
    if (m_entry->m_bytes > 0) {
      m_entry->m_state->SetBytes(m_entry, 0);
    }
  }
}

bool BufferBudget::Claim::Resize(size_t aBytes) {
  // Dropping a buffer may destroy this claim.
  const std::shared_ptr<Entry> entry = m_entry;
  State& state = *entry->m_state;
  if (entry->m_isDropped || entry->m_bytes == aBytes) {
    return !entry->m_isDropped;
  }
  state.SetBytes(entry, aBytes);
  while (const std::shared_ptr<Entry> victim = state.SelectVictim()) {
    state.SetBytes(victim, 0);
    victim->m_isDropped = true;
    ++state.m_dropCount;
    if (victim->m_info.m_kind == BufferKind::IncompleteRequest) {
      ++state.m_requestDropCount;
    }
    const auto onDropped = std::move(victim->m_info.m_onDropped);
    onDropped();
  }
  return !entry->m_isDropped;
}

void BufferBudget::Claim::Pin() {
  if (m_entry->m_isDropped || m_entry->m_isPinned) {
    return;
  }
  const size_t bytes = m_entry->m_bytes;
  if (bytes > 0) {
    m_entry->m_state->SetBytes(m_entry, 0);
  }
  m_entry->m_isPinned = true;
  m_entry->m_info.m_onDropped = {};
  m_entry->m_state->SetBytes(m_entry, bytes);
}

BufferBudget::BufferBudget(BufferBudgetSettings aSettings)
  : m_state(std::make_shared<State>()) {
  m_state->m_settings = aSettings;
}

BufferBudget::Claim BufferBudget::Open(BufferInfo aInfo) {
  auto entry = std::make_shared<Claim::Entry>();
  entry->m_state = m_state;
  entry->m_info = std::move(aInfo);
  return Claim(std::move(entry));
}

size_t BufferBudget::UsedBytes() const {
  return m_state->m_usedBytes;
}

size_t BufferBudget::MaxBytes() const {
  return m_state->m_settings.m_maxBytes;
}

uint64_t BufferBudget::RequestDropCount() const {
  return m_state->m_requestDropCount;
}

uint64_t BufferBudget::DropCount() const {
  return m_state->m_dropCount;
}

} // namespace papayafield::base
