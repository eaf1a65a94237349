#include "base/Log.h"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include "base/Json.h"

#include <fcntl.h>
#include <unistd.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace papayafield::base {

namespace {

/// Separates the message from the JSON details in a log event.
constexpr char kDetailsSeparator = '\t';
/// Log rate limit; lines beyond it are counted and dropped.
constexpr uint64_t kMaxLinesPerSecond = 400;

/// Writes to standard output without blocking. Lines are dropped when the pipe and the buffer are
/// full, so that a slow reader cannot stall the process.
class StdoutAppender : public log4cplus::Appender {
public:
  StdoutAppender() {
    const int flags = fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0) {
      fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }
  }
  ~StdoutAppender() override { destructorImpl(); }
  StdoutAppender(const StdoutAppender&) = delete;
  StdoutAppender& operator=(const StdoutAppender&) = delete;
  StdoutAppender(StdoutAppender&&) = delete;
  StdoutAppender& operator=(StdoutAppender&&) = delete;

  void close() override { closed = true; } // NOLINT(readability-identifier-naming)

protected:
  void append( // NOLINT(readability-identifier-naming): name given by log4cplus
    const log4cplus::spi::InternalLoggingEvent& aEvent) override {
    const auto second = aEvent.getTimestamp().time_since_epoch() / std::chrono::seconds(1);
    if (second != m_second) {
      m_second = second;
      m_linesThisSecond = 0;
    }
    if (++m_linesThisSecond > kMaxLinesPerSecond) {
      ++m_droppedLines;
      return;
    }
    if (m_droppedLines > 0) {
      m_buffer += "{\"level\":\"WARN\",\"part\":\"log\",\"message\":\"lines dropped\",\"count\":" +
                  std::to_string(std::exchange(m_droppedLines, 0)) + "}\n";
    }
    if (m_buffer.size() < kMaxBufferedBytes) {
      m_buffer += formatEvent(aEvent);
    } else {
      ++m_droppedLines;
    }
    const ssize_t bytesWritten = write(STDOUT_FILENO, m_buffer.data(), m_buffer.size());
    if (bytesWritten > 0) {
      m_buffer.erase(0, static_cast<size_t>(bytesWritten));
    }
  }

private:
  /// Limit for bytes buffered while the pipe is full.
  static constexpr size_t kMaxBufferedBytes = 65536;

  int64_t m_second = 0;
  uint64_t m_linesThisSecond = 0;
  uint64_t m_droppedLines = 0;
  std::string m_buffer;
};

/// Formats each log event as a JSON object on one line.
class JsonLayout : public log4cplus::Layout {
public:
  void formatAndAppend( // NOLINT(readability-identifier-naming): name given by log4cplus
    log4cplus::tostream& aOutput,
    const log4cplus::spi::InternalLoggingEvent& aEvent) override {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
                        aEvent.getTimestamp().time_since_epoch())
                        .count();
    nlohmann::json line = { { "time_ms", time },
                            { "level", llmCache.toString(aEvent.getLogLevel()) },
                            { "part", aEvent.getLoggerName() } };
    const std::string& message = aEvent.getMessage();
    const size_t details = message.find(kDetailsSeparator);
    line["message"] = message.substr(0, details);
    if (details != std::string::npos) {
      line.update(ParseJson(message.substr(details + 1)));
    }
    aOutput << line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << "\n";
  }
};

log4cplus::Logger GetLogger(const std::string& aName) {
  return log4cplus::Logger::getInstance(aName);
}

} // namespace

void StartLogging(const LogSettings& aSettings) {
  static log4cplus::Initializer initializer;
  // Keep the library's thread pool minimal, since no asynchronous appender is used.
  log4cplus::setThreadPoolSize(1);
  log4cplus::SharedAppenderPtr appender;
  if (aSettings.m_target == "stderr") {
    appender = new log4cplus::ConsoleAppender(true, true);
  } else if (aSettings.m_target == "stdout") {
    appender = new StdoutAppender();
  } else {
    appender = new log4cplus::FileAppender(aSettings.m_target, std::ios_base::app);
  }
  std::unique_ptr<log4cplus::Layout> layout;
  if (aSettings.m_json) {
    layout = std::make_unique<JsonLayout>();
  } else {
    layout = std::make_unique<log4cplus::PatternLayout>("%D{%Y-%m-%dT%H:%M:%S.%q} %-5p [%c] %m%n");
  }
  appender->setLayout(std::move(layout));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  std::string level = aSettings.m_level;
  for (char& character : level) {
    character = static_cast<char>(toupper(character));
  }
  root.setLogLevel(log4cplus::getLogLevelManager().fromString(level));
}

void Log::Debug(const std::string& aMessage) const {
  LOG4CPLUS_DEBUG(GetLogger(m_name), aMessage);
}

void Log::Info(const std::string& aMessage) const {
  LOG4CPLUS_INFO(GetLogger(m_name), aMessage);
}

void Log::Warn(const std::string& aMessage) const {
  LOG4CPLUS_WARN(GetLogger(m_name), aMessage);
}

void Log::Event(const std::string& aMessage, const nlohmann::json& aDetails) const {
  LOG4CPLUS_INFO(GetLogger(m_name), aMessage + kDetailsSeparator + DumpJson(aDetails));
}

void Log::Error(const std::string& aMessage) const {
  LOG4CPLUS_ERROR(GetLogger(m_name), aMessage);
}

} // namespace papayafield::base
