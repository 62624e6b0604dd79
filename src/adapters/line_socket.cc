#include "corianderdock/net/line_socket.h"

#include <array>
#include <utility>

#include "corianderdock/net/tcp_options.h"

namespace corianderdock::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 16 << 10;
}  // namespace

std::shared_ptr<LineSocket> LineSocket::Make(tcp::socket socket,
                                             const LineLimits& limits) {
  return std::shared_ptr<LineSocket>(new LineSocket(std::move(socket), limits));
}

LineSocket::LineSocket(tcp::socket socket, const LineLimits& limits)
    : socket_(std::move(socket)), limits_(limits) {}

void LineSocket::Start(OnLine on_line, OnClosed on_closed,
                       OnInvalid on_invalid) {
  on_line_ = std::move(on_line);
  on_closed_ = std::move(on_closed);
  on_invalid_ = std::move(on_invalid);
  error_code ec;
  socket_.non_blocking(true, ec);
  if (ec) return Fail(ec.message());
  SetTcpOptions(socket_, limits_.peer_timeout);
  WaitReadable();
}

void LineSocket::WaitReadable() {
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code ec) {
                       if (self->closed_) return;
                       if (ec) return self->Fail(ec.message());
                       self->ReadSome();
                     });
}

void LineSocket::ReadSome() {
  std::array<char, kReadBufferBytes> bytes;
  error_code ec;
  const std::size_t n = socket_.read_some(asio::buffer(bytes), ec);
  if (ec == asio::error::would_block || ec == asio::error::try_again) {
    return WaitReadable();
  }
  if (ec) return Fail(ec == asio::error::eof ? "closed" : ec.message());
  if (!Consume({bytes.data(), n})) return;
  WaitReadable();
}

/// Passes complete lines to the callback. Returns false once closed.
bool LineSocket::Consume(std::string_view bytes) {
  const auto self = shared_from_this();
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      // The last byte may be the CR of the line ending.
      if (partial_line_.size() + bytes.size() > limits_.max_line_bytes + 1) {
        return Refuse("line too long");
      }
      if (partial_line_.empty()) StartPartialLineTimer();
      partial_line_.append(bytes);
      return true;
    }
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    std::string joined;
    if (!partial_line_.empty()) {
      joined = std::exchange(partial_line_, {});
      partial_line_timer_.reset();
      joined.append(line);
      line = joined;
    }
    if (line.empty() || line.back() != '\r') return Refuse("LF without CR");
    line.remove_suffix(1);
    if (line.find('\r') != std::string_view::npos) {
      return Refuse("CR without LF");
    }
    if (line.size() > limits_.max_line_bytes) return Refuse("line too long");
    on_line_(line);
    if (closed_) return false;
  }
  return true;
}

/// Ends the connection because of what the peer sent. Returns false.
bool LineSocket::Refuse(const std::string& reason) {
  const OnInvalid on_invalid = std::exchange(on_invalid_, {});
  if (on_invalid) on_invalid(reason);
  Fail(reason);
  return false;
}

void LineSocket::StartPartialLineTimer() {
  partial_line_timer_ =
      std::make_unique<asio::steady_timer>(socket_.get_executor());
  partial_line_timer_->expires_after(limits_.line_timeout);
  partial_line_timer_->async_wait([weak = weak_from_this()](error_code ec) {
    const auto self = weak.lock();
    if (!ec && self) self->Fail("line not finished in time");
  });
}

void LineSocket::Flush() {
  if (closed_ || unsent_.empty() || waiting_writable_) return;
  error_code ec;
  const std::size_t n = socket_.write_some(asio::buffer(unsent_), ec);
  if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
    // The next read fails too and reports the close, so callers learn of it in
    // one place.
    unsent_.clear();
    return;
  }
  unsent_.erase(0, n);
  if (unsent_.empty()) return;
  if (unsent_.size() > limits_.max_unsent_bytes)
    return Fail("peer does not read");
  WaitWritable();
}

void LineSocket::WaitWritable() {
  waiting_writable_ = true;
  socket_.async_wait(tcp::socket::wait_write,
                     [self = shared_from_this()](error_code ec) {
                       self->waiting_writable_ = false;
                       if (!ec) self->Flush();
                     });
}

void LineSocket::Close() {
  if (closed_) return;
  Flush();
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
}

void LineSocket::Fail(const std::string& reason) {
  if (closed_) return;
  closed_ = true;
  error_code ignored;
  socket_.close(ignored);
  const OnClosed on_closed = std::exchange(on_closed_, {});
  if (on_closed) on_closed(reason);
}

}  // namespace corianderdock::net
