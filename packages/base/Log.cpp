#include "base/Log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <memory>
#include <nlohmann/json.hpp>

namespace papayafield::base {

namespace {

/// One JSON object for each log line.
class JsonLayout : public log4cplus::Layout {
public:
  void formatAndAppend( // NOLINT(readability-identifier-naming): name given by log4cplus
    log4cplus::tostream& aOutput,
    const log4cplus::spi::InternalLoggingEvent& aEvent) override {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
                        aEvent.getTimestamp().time_since_epoch())
                        .count();
    const nlohmann::json line = { { "time_ms", time },
                                  { "level", llmCache.toString(aEvent.getLogLevel()) },
                                  { "part", aEvent.getLoggerName() },
                                  { "message", aEvent.getMessage() } };
    aOutput << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
  }
};

log4cplus::Logger LoggerFor(const std::string& aPrefix) {
  return log4cplus::Logger::getInstance(aPrefix);
}

} // namespace

void StartLogging(const LogSettings& aSettings) {
  static log4cplus::Initializer initializer;
  // No asynchronous appender is used, so the library's threads have nothing to do.
  log4cplus::setThreadPoolSize(1);
  // Choose the target.
  log4cplus::SharedAppenderPtr appender;
  if (aSettings.m_target == "stderr") {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else {
    appender = new log4cplus::FileAppender(aSettings.m_target, std::ios_base::app);
  }
  // Choose the form of a line.
  std::unique_ptr<log4cplus::Layout> layout;
  if (aSettings.m_json) {
    layout = std::make_unique<JsonLayout>();
  } else {
    layout = std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n");
  }
  appender->setLayout(std::move(layout));
  // Install both at the root logger.
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  std::string level = aSettings.m_level;
  for (char& letter : level) {
    letter = static_cast<char>(toupper(letter));
  }
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

void Log::Debug(const std::string& aSentence) const {
  LOG4CPLUS_DEBUG(LoggerFor(m_prefix), aSentence);
}

void Log::Info(const std::string& aSentence) const {
  LOG4CPLUS_INFO(LoggerFor(m_prefix), aSentence);
}

void Log::Warn(const std::string& aSentence) const {
  LOG4CPLUS_WARN(LoggerFor(m_prefix), aSentence);
}

void Log::Error(const std::string& aSentence) const {
  LOG4CPLUS_ERROR(LoggerFor(m_prefix), aSentence);
}

} // namespace papayafield::base
