#include "serving/ReplicaCodec.h"

#include "base/Json.h"

namespace papayafield::serving {

using nlohmann::json;

namespace {

json ToBinary(const std::string& aBytes) {
  return json::binary({ aBytes.begin(), aBytes.end() });
}

std::string ReadBinary(const json& aValue) {
  const auto& bytes = aValue.get_binary();
  return { bytes.begin(), bytes.end() };
}

/// Reads an item: [key, data, revision, revision of its creation].
std::optional<store::Change> ReadItem(const json& aRow, uint64_t aEra) {
  constexpr size_t kFields = 4;
  if (!aRow.is_array() || aRow.size() != kFields || !aRow[0].is_string() || !aRow[1].is_binary() ||
      !aRow[2].is_number_unsigned() || !aRow[3].is_number_unsigned()) {
    return std::nullopt;
  }
  return store::Change{ { aRow[0].get<std::string>(),
                          ReadBinary(aRow[1]),
                          { aEra, aRow[2].get<uint64_t>() },
                          aRow[3].get<uint64_t>() },
                        false };
}

/// Reads a removal: [key, revision].
std::optional<store::Change> ReadRemoval(const json& aRow, uint64_t aEra) {
  constexpr size_t kFields = 2;
  if (!aRow.is_array() || aRow.size() != kFields || !aRow[0].is_string() ||
      !aRow[1].is_number_unsigned()) {
    return std::nullopt;
  }
  return store::Change{ { aRow[0].get<std::string>(), {}, { aEra, aRow[1].get<uint64_t>() }, 0 },
                        true };
}

/// Appends the changes in the array `aKey` of `aObject`. Returns false if one is malformed.
template<class Read>
bool AppendChanges(const json& aObject,
                   const char* aKey,
                   Read aRead,
                   uint64_t aEra,
                   std::vector<store::Change>& aChanges) {
  const auto rows = aObject.find(aKey);
  if (rows == aObject.end() || !rows->is_array()) {
    return false;
  }
  for (const json& row : *rows) {
    auto change = aRead(row, aEra);
    if (!change) {
      return false;
    }
    aChanges.push_back(std::move(*change));
  }
  return true;
}

} // namespace

std::string EncodeReplica(const sync::StoreReplica& aReplica,
                          const store::Position& aAfter,
                          const std::optional<std::string>& aConfiguration) {
  const uint64_t era = aReplica.LastPosition().m_era;
  const bool complete = !aReplica.KnowsRemovalsSince(aAfter);
  json items = json::array();
  for (const auto& [key, item] : aReplica.Items()) {
    if (complete || item.m_position > aAfter) {
      items.push_back({ key, ToBinary(item.m_data), item.m_position.m_revision, item.m_created });
    }
  }
  json removed = json::array();
  for (const auto& [key, position] : aReplica.Tombstones()) {
    if (!complete && position > aAfter) {
      removed.push_back({ key, position.m_revision });
    }
  }
  json root = { { "era", era },
                { "revision", aReplica.LastPosition().m_revision },
                { "whole", complete },
                { "items", items },
                { "removed", removed } };
  if (const auto& gap = aReplica.LatestGap(); !complete && gap.m_to > aAfter) {
    root["gap"] = { gap.m_from.m_revision, gap.m_to.m_revision };
  }
  if (aConfiguration) {
    root["configuration"] = ToBinary(*aConfiguration);
  }
  const auto bytes = json::to_cbor(root);
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
  // A node of an earlier version does not state the era.
  const json era = root.value("era", json(0U));
  const json configuration = root.value("configuration", json());
  if (!era.is_number_unsigned() || !(configuration.is_null() || configuration.is_binary())) {
    return std::nullopt;
  }
  ReplicaSnapshot snapshot;
  snapshot.m_complete = complete->get<bool>();
  snapshot.m_position = { era.get<uint64_t>(), revision->get<uint64_t>() };
  if (configuration.is_binary()) {
    snapshot.m_configuration = ReadBinary(configuration);
  }
  if (const auto gap = root.find("gap"); gap != root.end()) {
    if (!gap->is_array() || gap->size() != 2 || !(*gap)[0].is_number_unsigned() ||
        !(*gap)[1].is_number_unsigned()) {
      return std::nullopt;
    }
    const uint64_t gapEra = snapshot.m_position.m_era;
    snapshot.m_gap = sync::StoreReplica::Gap{ { gapEra, (*gap)[0].get<uint64_t>() },
                                              { gapEra, (*gap)[1].get<uint64_t>() } };
  }
  // A snapshot without one of its items would remove it.
  if (!AppendChanges(root, "items", ReadItem, snapshot.m_position.m_era, snapshot.m_changes) ||
      !AppendChanges(root, "removed", ReadRemoval, snapshot.m_position.m_era, snapshot.m_changes)) {
    return std::nullopt;
  }
  return snapshot;
}

} // namespace papayafield::serving
