#pragma once

#include "base/Findings.h"
#include "base/Ids.h"
#include "base/Time.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayafield::settings {

/// A parsed TOML document that collects the findings of all its tables. Not thread safe.
class TomlDocument;

/// Whether a key must be present.
enum class Presence { Required, Optional };

/// A table of a TOML document. Each getter marks its key as known. If the value has the wrong type
/// or is out of range, or a required key is missing, it adds a finding and returns the default. Not
/// thread safe.
class TomlTable {
public:
  /// Returns a string, or the default if the key is missing.
  std::string Text(std::string_view aKey, Presence aPresence, std::string aDefault = {});
  /// Returns a string that is one of `aNames`.
  std::string OneOf(std::string_view aKey,
                    const std::vector<std::string>& aNames,
                    std::string aDefault);
  /// Returns an integer from `aMin` to `aMax`.
  int64_t Integer(std::string_view aKey, int64_t aMin, int64_t aMax, int64_t aDefault);
  /// Returns a number from `aMin` to `aMax`.
  double Number(std::string_view aKey, double aMin, double aMax, double aDefault);
  bool Boolean(std::string_view aKey, bool aDefault);
  /// Returns a duration such as "250ms", "1.8s", "5m" or "24h".
  base::Millis Duration(std::string_view aKey,
                        base::Millis aMin,
                        base::Millis aMax,
                        base::Millis aDefault);
  /// Returns an address such as "127.0.0.1:8101".
  base::Address Address(std::string_view aKey, Presence aPresence);
  /// Returns whether the key `aKey` is there, whatever its value.
  bool Has(std::string_view aKey) const;
  /// Returns an array of strings.
  std::vector<std::string> StringList(std::string_view aKey);
  /// Returns an array of integers.
  std::vector<int64_t> Integers(std::string_view aKey);
  /// Returns the table at `aKey`, or an empty table if it is missing.
  TomlTable Child(std::string_view aKey, Presence aPresence);
  /// Returns the tables of the array at `aKey`.
  std::vector<TomlTable> Children(std::string_view aKey);

  /// Adds a finding at the position of `aKey`, or of the table if the key is missing.
  void AddFinding(std::string_view aKey, std::string aMessage);
  /// Adds a finding for each key that no getter has read. Must be called after all getters.
  void ReportUnknownKeys();

private:
  friend class TomlDocument;
  /// A `toml::node`; null stands for an empty table. Type-erased to keep the library out of this
  /// header.
  using Node = const void*;

  TomlTable(TomlDocument& aDocument, Node aTable, std::string aPath)
    : m_document(&aDocument)
    , m_table(aTable)
    , m_path(std::move(aPath)) {}

  Node FindNode(std::string_view aKey, Presence aPresence);

  TomlDocument* m_document;
  Node m_table;
  std::string m_path;
  std::set<std::string, std::less<>> m_knownKeys;
};

class TomlDocument {
public:
  /// Parses `aText`. A syntax error is added as a finding and leaves the document empty.
  TomlDocument(std::string aFile, const std::string& aText);
  ~TomlDocument();
  TomlDocument(const TomlDocument&) = delete;
  TomlDocument& operator=(const TomlDocument&) = delete;
  TomlDocument(TomlDocument&&) = delete;
  TomlDocument& operator=(TomlDocument&&) = delete;

  /// Returns the root table.
  TomlTable Root();
  /// Returns the findings added so far.
  const base::Findings& AllFindings() const { return m_findings; }

private:
  friend class TomlTable;
  struct Parsed;

  std::string m_file;
  std::unique_ptr<Parsed> m_parsed;
  base::Findings m_findings;
};

} // namespace papayafield::settings
