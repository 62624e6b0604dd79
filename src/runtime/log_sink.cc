#include "corianderdock/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <string>

namespace corianderdock {

/// A pipe that polls as writable takes PIPE_BUF bytes without blocking, so a
/// longer line is cut.
bool LogSink::Write(const std::string& line) const {
  pollfd ready{fd_, POLLOUT, 0};
  if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) return false;
  std::string text = line.substr(0, PIPE_BUF);
  if (text.size() < line.size()) text.back() = '\n';
  return ::write(fd_, text.data(), text.size()) >= 0;
}

void LogSink::append(const log4cplus::spi::InternalLoggingEvent& event) {
  const std::string& line = formatEvent(event);
  if (dropped_ > reported_) {
    const std::string note =
        "log lines dropped count=" + std::to_string(dropped_ - reported_) +
        "\n";
    if (Write(note)) reported_ = dropped_;
  }
  if (!Write(line)) ++dropped_;
}

}  // namespace corianderdock
