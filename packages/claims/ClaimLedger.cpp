#include "claims/ClaimLedger.h"

#include "base/Json.h"

#include <algorithm>
#include <cassert>
#include <map>

namespace papayafield::claims {

namespace {

constexpr int kFormat = 1;

} // namespace

std::optional<ClaimLedger> ClaimLedger::Parse(const std::string& aText) {
  ClaimLedger ledger;
  if (aText.empty()) {
    return ledger;
  }
  const nlohmann::json value = base::ParseJson(aText);
  if (base::ValueOr(value, "format", 0) != kFormat || !value.contains("owners") ||
      !value.contains("claims") || !value.contains("sealed") || !value["owners"].is_array()) {
    return std::nullopt;
  }
  // A claim is stored as [key, index of its owner, number, done, expiry].
  constexpr size_t kFields = 5;
  for (const auto& item : value["claims"]) {
    if (!item.is_array() || item.size() != kFields || !item[0].is_string() ||
        !item[1].is_number_unsigned() || !item[2].is_number_unsigned() ||
        !item[3].is_number_unsigned() || !item[4].is_number_integer()) {
      return std::nullopt;
    }
    const auto owner = item[1].get<size_t>();
    if (owner >= value["owners"].size() || !value["owners"][owner].is_string()) {
      return std::nullopt;
    }
    ClaimRecord record;
    record.m_key = item[0].get<std::string>();
    record.m_owner = base::IncarnationId(value["owners"][owner].get<std::string>());
    record.m_number = item[2].get<uint64_t>();
    record.m_done = item[3].get<uint64_t>() != 0;
    record.m_expires = item[4].get<int64_t>();
    ledger.m_records.emplace(record.m_key, record);
  }
  for (const auto& item : value["sealed"]) {
    ledger.m_segments.push_back(
      { base::ValueOr(item, "name", std::string()), base::ValueOr(item, "expires", int64_t{ 0 }) });
  }
  return ledger;
}

std::string ClaimLedger::ToText() const {
  std::map<base::IncarnationId, size_t> owners;
  nlohmann::json ownerNames = nlohmann::json::array();
  nlohmann::json claims = nlohmann::json::array();
  // Claims are sorted by key, so that equal ledgers have equal texts.
  std::vector<const ClaimRecord*> ordered;
  ordered.reserve(m_records.size());
  for (const auto& [key, record] : m_records) {
    ordered.push_back(&record);
  }
  std::sort(
    ordered.begin(), ordered.end(), [](const ClaimRecord* aLeft, const ClaimRecord* aRight) {
      return aLeft->m_key < aRight->m_key;
    });
  for (const ClaimRecord* record : ordered) {
    const auto [entry, inserted] = owners.try_emplace(record->m_owner, owners.size());
    if (inserted) {
      ownerNames.push_back(record->m_owner.Text());
    }
    claims.push_back(nlohmann::json::array({ record->m_key,
                                             entry->second,
                                             record->m_number,
                                             record->m_done ? 1U : 0U,
                                             record->m_expires }));
  }
  nlohmann::json sealed = nlohmann::json::array();
  for (const SealedSegment& segment : m_segments) {
    sealed.push_back({ { "name", segment.m_name }, { "expires", segment.m_expires } });
  }
  return base::DumpJson({ { "format", kFormat },
                          { "owners", ownerNames },
                          { "claims", claims },
                          { "sealed", sealed } });
}

const ClaimRecord* ClaimLedger::Find(const std::string& aKey) const {
  const auto found = m_records.find(aKey);
  return found == m_records.end() ? nullptr : &found->second;
}

void ClaimLedger::Add(ClaimRecord aRecord) {
  assert(Find(aRecord.m_key) == nullptr);
  const std::string key = aRecord.m_key;
  m_records.emplace(key, std::move(aRecord));
}

bool ClaimLedger::MarkDone(const std::string& aKey) {
  const auto found = m_records.find(aKey);
  return found != m_records.end() && !std::exchange(found->second.m_done, true);
}

std::vector<std::string> ClaimLedger::RemoveExpired(int64_t aNow) {
  std::erase_if(m_records, [&](const auto& aRecord) { return aRecord.second.m_expires < aNow; });
  std::vector<std::string> dropped;
  std::erase_if(m_segments, [&](const SealedSegment& aSegment) {
    if (aSegment.m_expires >= aNow) {
      return false;
    }
    dropped.push_back(aSegment.m_name);
    return true;
  });
  return dropped;
}

std::string ClaimLedger::Seal(const std::string& aName) {
  int64_t expires = 0;
  for (const auto& [key, record] : m_records) {
    expires = std::max(expires, record.m_expires);
  }
  ClaimLedger segment;
  segment.m_records = std::exchange(m_records, {});
  m_segments.push_back({ aName, expires });
  return segment.ToText();
}

} // namespace papayafield::claims
