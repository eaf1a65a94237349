#include "base/BufferBudget.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace papayafield::base {

struct BufferBudget::State {
  using Entry = Claim::Entry;

  /// Sets the size of the buffer of `aEntry`.
  void SetBytes(Entry& aEntry, size_t aBytes);
  /// Returns the buffer to drop first; null if there is none.
  std::shared_ptr<Entry> SelectVictim() const;

  BufferBudgetSettings m_settings;
  /// Sum over all buffers.
  size_t m_usedBytes = 0;
  uint64_t m_dropCount = 0;
  /// Sum over the buffers of each owner; owners that hold nothing are left out.
  std::map<std::string, size_t> m_bytesByOwner;
  /// Buffers that hold bytes.
  std::set<std::shared_ptr<Entry>> m_entries;
};

struct BufferBudget::Claim::Entry {
  std::shared_ptr<State> m_state;
  BufferInfo m_info;
  size_t m_bytes = 0;
  bool m_isDropped = false;
};

void BufferBudget::State::SetBytes(Entry& aEntry, size_t aBytes) {
  size_t& ownerBytes = m_bytesByOwner[aEntry.m_info.m_owner];
  m_usedBytes += aBytes - aEntry.m_bytes;
  ownerBytes += aBytes - aEntry.m_bytes;
  aEntry.m_bytes = aBytes;
  if (ownerBytes == 0) {
    m_bytesByOwner.erase(aEntry.m_info.m_owner);
  }
}

std::shared_ptr<BufferBudget::Claim::Entry> BufferBudget::State::SelectVictim() const {
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

BufferBudget::Claim::Claim(std::shared_ptr<Entry> aEntry)
  : m_entry(std::move(aEntry)) {}

BufferBudget::Claim::~Claim() {
  if (m_entry != nullptr) {
    m_entry->m_state->SetBytes(*m_entry, 0);
    m_entry->m_state->m_entries.erase(m_entry);
  }
}

bool BufferBudget::Claim::Resize(size_t aBytes) {
  // Dropping a buffer may destroy this claim.
  const std::shared_ptr<Entry> entry = m_entry;
  State& state = *entry->m_state;
  if (entry->m_isDropped || entry->m_bytes == aBytes) {
    return !entry->m_isDropped;
  }
  state.SetBytes(*entry, aBytes);
  if (aBytes > 0) {
    state.m_entries.insert(entry);
  } else {
    state.m_entries.erase(entry);
  }
  while (state.m_usedBytes > state.m_settings.m_maxBytes) {
    const std::shared_ptr<Entry> victim = state.SelectVictim();
    if (victim == nullptr) {
      break;
    }
    state.SetBytes(*victim, 0);
    state.m_entries.erase(victim);
    victim->m_isDropped = true;
    ++state.m_dropCount;
    const auto onDropped = std::move(victim->m_info.m_onDropped);
    onDropped();
  }
  return !entry->m_isDropped;
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

uint64_t BufferBudget::DropCount() const {
  return m_state->m_dropCount;
}

} // namespace papayafield::base
