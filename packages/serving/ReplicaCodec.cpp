#include "serving/ReplicaCodec.h"

#include "base/Json.h"

namespace papayafield::serving {

using nlohmann::json;

namespace {

/// Reads an item: [key, data, revision, revision of its creation].
std::optional<store::Change> ReadItem(const json& aRow) {
  constexpr size_t kFields = 4;
  if (!aRow.is_array() || aRow.size() != kFields || !aRow[0].is_string() || !aRow[1].is_binary() ||
      !aRow[2].is_number_unsigned() || !aRow[3].is_number_unsigned()) {
    return std::nullopt;
  }
  const auto& data = aRow[1].get_binary();
  return store::Change{ { aRow[0].get<std::string>(),
                          std::string(data.begin(), data.end()),
                          aRow[2].get<uint64_t>(),
                          aRow[3].get<uint64_t>() },
                        false };
}

/// Reads a removal: [key, revision].
std::optional<store::Change> ReadRemoval(const json& aRow) {
  constexpr size_t kFields = 2;
  if (!aRow.is_array() || aRow.size() != kFields || !aRow[0].is_string() ||
      !aRow[1].is_number_unsigned()) {
    return std::nullopt;
  }
  return store::Change{ { aRow[0].get<std::string>(), {}, aRow[1].get<uint64_t>(), 0 }, true };
}

/// Appends the changes in the array `aKey` of `aObject`. Returns false if one is malformed.
template<class Read>
bool AppendChanges(const json& aObject,
                   const char* aKey,
                   Read aRead,
                   std::vector<store::Change>& aChanges) {
  const auto rows = aObject.find(aKey);
  if (rows == aObject.end() || !rows->is_array()) {
    return false;
  }
  for (const json& row : *rows) {
    auto change = aRead(row);
    if (!change) {
      return false;
    }
    aChanges.push_back(std::move(*change));
  }
  return true;
}

} // namespace

std::string EncodeReplica(const sync::StoreReplica& aReplica, uint64_t aAfter) {
  const bool complete = aAfter < aReplica.TombstonesFrom();
  json items = json::array();
  for (const auto& [key, item] : aReplica.Items()) {
    if (complete || item.m_revision > aAfter) {
      items.push_back({ key,
                        json::binary({ item.m_data.begin(), item.m_data.end() }),
                        item.m_revision,
                        item.m_created });
    }
  }
  json removed = json::array();
  for (const auto& [key, revision] : aReplica.Tombstones()) {
    if (!complete && revision > aAfter) {
      removed.push_back({ key, revision });
    }
  }
  const auto bytes = json::to_cbor({ { "revision", aReplica.LastRevision() },
                                     { "whole", complete },
                                     { "items", items },
                                     { "removed", removed } });
  return { bytes.begin(), bytes.end() };
}

std::optional<ReplicaSnapshot> DecodeReplica(const std::string& aBytes) {
  const json root = base::ParseCbor(aBytes);
  if (!root.is_object()) {
    return std::nullopt;
  }
  const auto complete = root.find("whole");
  const auto revision = root.find("revision");
  if (complete == root.end() || !complete->is_boolean() || revision == root.end() ||
      !revision->is_number_unsigned()) {
    return std::nullopt;
  }
  ReplicaSnapshot snapshot{ {}, complete->get<bool>(), revision->get<uint64_t>() };
  // A snapshot without one of its items would remove it.
  if (!AppendChanges(root, "items", ReadItem, snapshot.m_changes) ||
      !AppendChanges(root, "removed", ReadRemoval, snapshot.m_changes)) {
    return std::nullopt;
  }
  return snapshot;
}

} // namespace papayafield::serving
