#include "corianderdock/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace corianderdock {

/// A pipe that polls as writable accepts PIPE_BUF bytes without blocking, so
/// longer lines are truncated to that length.
bool LogSink::Write(const std::string& line) const {
  pollfd ready{fd_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  std::string text = line.substr(0, PIPE_BUF);
  if (text.size() < line.size()) text.back() = '\n';
  return ::write(fd_, text.data(), text.size()) >= 0;
}

void LogSink::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const std::string& line = formatEvent(event);
  if (dropped_ > reported_dropped_) {
    const std::string notice = "log lines dropped count=" +
                               std::to_string(dropped_ - reported_dropped_) +
                               "\n";
    if (Write(notice)) reported_dropped_ = dropped_;
  }
  if (!Write(line)) ++dropped_;
}

}  // namespace corianderdock
