/// \file
/// A log appender that never blocks.
#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace corianderdock {

/// Writes each line to a pipe, file or terminal without blocking. Lines that a
/// slow reader leaves no room for are dropped; their number is logged before
/// the next line that is written. log4cplus serializes the calls.
///
/// \code
/// log4cplus::SharedAppenderPtr sink(new LogSink(STDOUT_FILENO));
/// \endcode
class LogSink : public log4cplus::Appender {
 public:
  /// \pre `fd` stays open for the lifetime of the sink.
  explicit LogSink(int fd) : fd_(fd) {}
  ~LogSink() override { destructorImpl(); }

  LogSink(const LogSink&) = delete;
  LogSink& operator=(const LogSink&) = delete;
  LogSink(LogSink&&) = delete;
  LogSink& operator=(LogSink&&) = delete;

  void close() override { closed = true; }

  /// Number of lines dropped so far.
  [[nodiscard]] std::uint64_t dropped() const noexcept { return dropped_; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override;

 private:
  [[nodiscard]] bool Write(const std::string& line) const;

  int fd_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;  ///< dropped lines already logged
};

}  // namespace corianderdock
