#include "settings/TomlTable.h"

#include <algorithm>
#include <cmath>

#include <toml++/toml.h>

namespace papayafield::settings {

struct TomlDocument::Parsed {
  toml::table m_root;
};

namespace {

const toml::table* AsTable(const void* aNode) {
  return static_cast<const toml::table*>(aNode);
}

const toml::node* AsNode(const void* aNode) {
  return static_cast<const toml::node*>(aNode);
}

/// Parses a duration such as "1.8s". Returns nullopt if it is malformed.
std::optional<base::Millis> ParseDuration(const std::string& aText) {
  struct Unit {
    std::string_view m_name;
    double m_millis;
  };
  static constexpr Unit kUnits[] = { { "ms", 1 }, { "s", 1e3 }, { "m", 60e3 }, { "h", 3600e3 } };
  size_t parsedLength = 0;
  double amount = 0;
  try {
    amount = std::stod(aText, &parsedLength);
  } catch (const std::exception&) {
    return std::nullopt;
  }
  for (const Unit& unit : kUnits) {
    if (std::string_view(aText).substr(parsedLength) == unit.m_name && amount >= 0) {
      return base::Millis(std::llround(amount * unit.m_millis));
    }
  }
  return std::nullopt;
}

} // namespace

TomlDocument::TomlDocument(std::string aFile, const std::string& aText)
  : m_file(std::move(aFile))
  , m_parsed(std::make_unique<Parsed>()) {
  try {
    m_parsed->m_root = toml::parse(aText, m_file);
  } catch (const toml::parse_error& error) {
    m_findings.Add({ m_file,
                     static_cast<uint32_t>(error.source().begin.line),
                     static_cast<uint32_t>(error.source().begin.column),
                     std::string(error.description()) });
  }
}

TomlDocument::~TomlDocument() = default;

TomlTable TomlDocument::Root() {
  return { *this, &m_parsed->m_root, "" };
}

TomlTable::Node TomlTable::FindNode(std::string_view aKey, Presence aPresence) {
  m_knownKeys.emplace(aKey);
  const toml::node* node = m_table == nullptr ? nullptr : AsTable(m_table)->get(aKey);
  if (node == nullptr && aPresence == Presence::Required) {
    AddFinding(aKey, "the key '" + m_path + std::string(aKey) + "' is missing");
  }
  return node;
}

void TomlTable::AddFinding(std::string_view aKey, std::string aMessage) {
  base::Finding finding{ m_document->m_file, 0, 0, std::move(aMessage) };
  if (m_table != nullptr) {
    const toml::node* node = AsTable(m_table)->get(aKey);
    const toml::source_region& position =
      node != nullptr ? node->source() : AsTable(m_table)->source();
    finding.m_line = position.begin.line;
    finding.m_column = position.begin.column;
  }
  m_document->m_findings.Add(std::move(finding));
}

std::string TomlTable::Text(std::string_view aKey, Presence aPresence, std::string aDefault) {
  const auto* node = AsNode(FindNode(aKey, aPresence));
  if (node == nullptr) {
    return aDefault;
  }
  if (const auto text = node->value_exact<std::string>()) {
    if (text->empty()) {
      AddFinding(aKey, "'" + m_path + std::string(aKey) + "' must not be empty");
    }
    return *text;
  }
  AddFinding(aKey, "'" + m_path + std::string(aKey) + "' must be a text in quotes");
  return aDefault;
}

std::string TomlTable::OneOf(std::string_view aKey,
                             const std::vector<std::string>& aNames,
                             std::string aDefault) {
  std::string text = Text(aKey, Presence::Optional, aDefault);
  if (std::find(aNames.begin(), aNames.end(), text) != aNames.end()) {
    return text;
  }
  std::string names;
  for (const std::string& name : aNames) {
    names += (names.empty() ? "" : ", ") + name;
  }
  AddFinding(aKey, "'" + m_path + std::string(aKey) + "' must be one of " + names);
  return aDefault;
}

int64_t TomlTable::Integer(std::string_view aKey, int64_t aMin, int64_t aMax, int64_t aDefault) {
  const auto* node = AsNode(FindNode(aKey, Presence::Optional));
  if (node == nullptr) {
    return aDefault;
  }
  const auto number = node->value_exact<int64_t>();
  if (!number || *number < aMin || *number > aMax) {
    AddFinding(aKey,
               "'" + m_path + std::string(aKey) + "' must be a whole number from " +
                 std::to_string(aMin) + " to " + std::to_string(aMax));
    return aDefault;
  }
  return *number;
}

double TomlTable::Number(std::string_view aKey, double aMin, double aMax, double aDefault) {
  const auto* node = AsNode(FindNode(aKey, Presence::Optional));
  if (node == nullptr) {
    return aDefault;
  }
  const auto number = node->value<double>();
  if (!number || !(*number >= aMin && *number <= aMax)) {
    AddFinding(aKey,
               "'" + m_path + std::string(aKey) + "' must be a number from " +
                 std::to_string(aMin) + " to " + std::to_string(aMax));
    return aDefault;
  }
  return *number;
}

bool TomlTable::Boolean(std::string_view aKey, bool aDefault) {
  const auto* node = AsNode(FindNode(aKey, Presence::Optional));
  if (node == nullptr) {
    return aDefault;
  }
  if (const auto value = node->value_exact<bool>()) {
    return *value;
  }
  AddFinding(aKey, "'" + m_path + std::string(aKey) + "' must be true or false");
  return aDefault;
}

base::Millis TomlTable::Duration(std::string_view aKey,
                                 base::Millis aMin,
                                 base::Millis aMax,
                                 base::Millis aDefault) {
  const auto* node = AsNode(FindNode(aKey, Presence::Optional));
  if (node == nullptr) {
    return aDefault;
  }
  const auto text = node->value_exact<std::string>();
  const auto duration = text ? ParseDuration(*text) : std::nullopt;
  if (!duration) {
    AddFinding(aKey,
               "'" + m_path + std::string(aKey) +
                 "' must be a span with a unit in quotes, such as \"250ms\", \"5s\" or \"2h\"");
    return aDefault;
  }
  if (*duration < aMin || *duration > aMax) {
    AddFinding(aKey,
               "'" + m_path + std::string(aKey) + "' must be from " + std::to_string(aMin.count()) +
                 "ms to " + std::to_string(aMax.count()) + "ms");
    return aDefault;
  }
  return *duration;
}

base::Address TomlTable::Address(std::string_view aKey, Presence aPresence) {
  const std::string text = Text(aKey, aPresence);
  if (text.empty()) {
    return {};
  }
  base::Address address = base::Address::Parse(text);
  if (address.m_port == 0) {
    AddFinding(aKey,
               "'" + m_path + std::string(aKey) +
                 "' must be an IP number and a port, such as \"10.0.0.1:8100\"");
  }
  return address;
}

namespace {

/// Returns the items of the array `aNode`, or nullopt if it is not an array of `T`.
template<class T>
std::optional<std::vector<T>> ReadList(const toml::node& aNode) {
  const toml::array* array = aNode.as_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<T> values;
  for (const toml::node& item : *array) {
    const auto value = item.value_exact<T>();
    if (!value) {
      return std::nullopt;
    }
    values.push_back(*value);
  }
  return values;
}

} // namespace

bool TomlTable::Has(std::string_view aKey) const {
  return m_table != nullptr && AsTable(m_table)->contains(aKey);
}

std::vector<std::string> TomlTable::StringList(std::string_view aKey) {
  const auto* node = AsNode(FindNode(aKey, Presence::Optional));
  if (node == nullptr) {
    return {};
  }
  auto texts = ReadList<std::string>(*node);
  if (!texts) {
    AddFinding(aKey, "'" + m_path + std::string(aKey) + "' must be a list of texts in quotes");
  }
  return std::move(texts).value_or(std::vector<std::string>());
}

std::vector<int64_t> TomlTable::Integers(std::string_view aKey) {
  const auto* node = AsNode(FindNode(aKey, Presence::Optional));
  if (node == nullptr) {
    return {};
  }
  auto numbers = ReadList<int64_t>(*node);
  if (!numbers) {
    AddFinding(aKey, "'" + m_path + std::string(aKey) + "' must be a list of whole numbers");
  }
  return std::move(numbers).value_or(std::vector<int64_t>());
}

TomlTable TomlTable::Child(std::string_view aKey, Presence aPresence) {
  const auto* node = AsNode(FindNode(aKey, aPresence));
  const std::string path = m_path + std::string(aKey) + ".";
  if (node != nullptr && !node->is_table()) {
    AddFinding(aKey, "'" + m_path + std::string(aKey) + "' must be a table");
    node = nullptr;
  }
  return { *m_document, node == nullptr ? nullptr : node->as_table(), path };
}

std::vector<TomlTable> TomlTable::Children(std::string_view aKey) {
  const auto* node = AsNode(FindNode(aKey, Presence::Optional));
  std::vector<TomlTable> tables;
  if (node == nullptr) {
    return tables;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr || !array->is_homogeneous(toml::node_type::table)) {
    AddFinding(aKey,
               "'" + m_path + std::string(aKey) + "' must be a list of tables, as [[" + m_path +
                 std::string(aKey) + "]]");
    return tables;
  }
  for (const toml::node& item : *array) {
    tables.push_back(TomlTable(*m_document, item.as_table(), m_path + std::string(aKey) + "."));
  }
  return tables;
}

void TomlTable::ReportUnknownKeys() {
  if (m_table == nullptr) {
    return;
  }
  for (const auto& [key, value] : *AsTable(m_table)) {
    if (m_knownKeys.find(key.str()) == m_knownKeys.end()) {
      AddFinding(key.str(), "the key '" + m_path + std::string(key.str()) + "' is not known");
    }
  }
}

} // namespace papayafield::settings
