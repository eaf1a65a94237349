#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace papayafield::base {

/// Destination, format and level of the log.
struct LogSettings {
  /// One of trace, debug, info, warn, error.
  std::string m_level = "info";
  /// `stderr`, `stdout` (rate-limited and non-blocking) or the path of a file to append to.
  std::string m_target = "stderr";
  /// Whether each line is a JSON object instead of text.
  bool m_json = false;
};

/// Configures logging for this process. Must be called once, before any other thread starts.
void StartLogging(const LogSettings& aSettings);

/// Writes log messages of one component. Thread safe.
class Log {
public:
  /// Creates a log for the component `aName`, such as "gateway".
  explicit Log(std::string aName)
    : m_name(std::move(aName)) {}

  /// Logs detail for debugging.
  void Debug(const std::string& aMessage) const;
  /// Logs normal operation.
  void Info(const std::string& aMessage) const;
  /// Logs a problem that was handled.
  void Warn(const std::string& aMessage) const;
  /// Logs a decision or state change at level INFO, with its inputs as a JSON object. In the JSON
  /// format, the members of `aDetails` become fields of the log line.
  void Event(const std::string& aMessage, const nlohmann::json& aDetails) const;
  /// Logs a problem that requires an operator.
  void Error(const std::string& aMessage) const;

private:
  std::string m_name;
};

} // namespace papayafield::base
