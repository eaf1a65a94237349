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

/// A TOML text that was read, with all findings made while reading it. Not thread safe.
class TomlDocument;

/// Whether a key must be there.
enum class Presence { Required, Optional };

/// One table of a TOML document. Each getter notes its key as known and adds a finding when the
/// value is missing, of the wrong type or out of range; it then gives the default. Not thread safe.
class TomlTable {
public:
  /// A text; the default when the key is missing.
  std::string Text(std::string_view aKey, Presence aPresence, std::string aDefault = {});
  /// A text that is one of `aNames`.
  std::string OneOf(std::string_view aKey,
                    const std::vector<std::string>& aNames,
                    std::string aDefault);
  /// A whole number from `aLeast` to `aMost`.
  int64_t Integer(std::string_view aKey, int64_t aLeast, int64_t aMost, int64_t aDefault);
  /// A number from `aLeast` to `aMost`.
  double Number(std::string_view aKey, double aLeast, double aMost, double aDefault);
  /// true or false.
  bool Boolean(std::string_view aKey, bool aDefault);
  /// A span such as "250ms", "1.8s", "5m" or "24h".
  base::Millis Duration(std::string_view aKey,
                        base::Millis aLeast,
                        base::Millis aMost,
                        base::Millis aDefault);
  /// An address such as "127.0.0.1:8101".
  base::Address Address(std::string_view aKey, Presence aPresence);
  /// A list of texts.
  std::vector<std::string> Texts(std::string_view aKey);
  /// A list of whole numbers.
  std::vector<int64_t> Integers(std::string_view aKey);
  /// The table under `aKey`; an empty one when it is missing.
  TomlTable Child(std::string_view aKey, Presence aPresence);
  /// The tables of the array under `aKey`.
  std::vector<TomlTable> Children(std::string_view aKey);

  /// Adds a finding at the place of `aKey`, or at the table when the key is missing.
  void Complain(std::string_view aKey, std::string aMessage);
  /// Adds a finding for each key that no getter asked for. Call last.
  void ReportUnknownKeys();

private:
  friend class TomlDocument;
  /// A table of the library; null stands for an empty one.
  using Node = const void*;

  TomlTable(TomlDocument& aDocument, Node aTable, std::string aPath)
    : m_document(&aDocument)
    , m_table(aTable)
    , m_path(std::move(aPath)) {}

  Node Look(std::string_view aKey, Presence aPresence);

  TomlDocument* m_document;
  Node m_table;
  std::string m_path;
  std::set<std::string, std::less<>> m_known;
};

class TomlDocument {
public:
  /// Reads `aText`; a syntax fault becomes a finding and the document is then empty.
  TomlDocument(std::string aFile, const std::string& aText);
  ~TomlDocument();
  TomlDocument(const TomlDocument&) = delete;
  TomlDocument& operator=(const TomlDocument&) = delete;
  TomlDocument(TomlDocument&&) = delete;
  TomlDocument& operator=(TomlDocument&&) = delete;

  /// The outermost table.
  TomlTable Root();
  /// What was found so far.
  const base::Findings& AllFindings() const { return m_findings; }

private:
  friend class TomlTable;
  struct Parsed;

  std::string m_file;
  std::unique_ptr<Parsed> m_parsed;
  base::Findings m_findings;
};

} // namespace papayafield::settings
