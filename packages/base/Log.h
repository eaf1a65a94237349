#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace papayafield::base {

/// Where and how log lines are written.
struct LogSettings {
  /// One of trace, debug, info, warn, error.
  std::string m_level = "info";
  /// `stderr`, `stdout` (bounded, never blocks), or the path of a file to append to.
  std::string m_target = "stderr";
  /// Whether each line is a JSON object instead of text.
  bool m_json = false;
};

/// Sets up logging for this process. Called once, before any other thread starts.
void StartLogging(const LogSettings& aSettings);

/// Writes short sentences with the fixed prefix of one part. Thread safe.
class Log {
public:
  /// A log for the part named `aPrefix`, such as "gateway".
  explicit Log(std::string aPrefix)
    : m_prefix(std::move(aPrefix)) {}

  /// For following single steps.
  void Debug(const std::string& aSentence) const;
  /// For what an operator expects to see.
  void Info(const std::string& aSentence) const;
  /// For what went wrong and was handled.
  void Warn(const std::string& aSentence) const;
  /// For one decision or change of what is known: a short sentence, and an object with what
  /// decided.
  void Event(const std::string& aSentence, const nlohmann::json& aDetails) const;
  /// For what went wrong and needs an operator.
  void Error(const std::string& aSentence) const;

private:
  std::string m_prefix;
};

} // namespace papayafield::base
