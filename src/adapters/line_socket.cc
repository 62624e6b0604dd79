#include "corianderdock/net/line_socket.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <utility>

#include "corianderdock/net/tcp_options.h"

namespace corianderdock::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t kReadBufferBytes = 16 << 10;
/// Larger buffers are freed once they are empty.
constexpr std::size_t kKeptBufferBytes = 4 << 10;

/// Bytes of a string outside the string object.
std::size_t HeapBytes(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() : 0;
}

}  // namespace

std::shared_ptr<LineSocket> LineSocket::Make(
    tcp::socket socket, const LineLimits& limits,
    std::shared_ptr<BudgetAccount> account) {
  return std::shared_ptr<LineSocket>(
      new LineSocket(std::move(socket), limits, std::move(account)));
}

LineSocket::LineSocket(tcp::socket socket, const LineLimits& limits,
                       std::shared_ptr<BudgetAccount> account)
    : socket_(std::move(socket)),
      limits_(limits),
      account_(std::move(account)) {}

void LineSocket::Start(OnLine on_line, OnClosed on_closed,
                       OnInvalid on_invalid) {
  on_line_ = std::move(on_line);
  on_closed_ = std::move(on_closed);
  on_invalid_ = std::move(on_invalid);
  error_code ec;
  socket_.non_blocking(true, ec);
  if (ec) return Fail(ec.message());
  SetTcpOptions(socket_, limits_.peer_timeout);
  if (account_) CloseOverBudget();
  if (limits_.start_timeout > Duration(0)) {
    StartLineTimer(limits_.start_timeout, Limit::kStartTimeout,
                   "no first line in time");
  }
  WaitReadable();
}

/// Closes the connection when the budget asks for it, later on its own thread,
/// since any connection may be the one that exceeds the budget.
void LineSocket::CloseOverBudget() {
  account_->budget().OnClose(
      *account_,
      [weak = weak_from_this(), executor = socket_.get_executor()] {
        asio::post(executor, [weak] {
          if (const auto self = weak.lock()) {
            self->Fail("memory budget exceeded");
          }
        });
      },
      [weak = weak_from_this(), executor = socket_.get_executor()] {
        asio::post(executor, [weak] {
          if (const auto self = weak.lock()) self->Resume();
        });
      });
}

/// Reports the bytes held, and reads on if they have become few enough.
void LineSocket::UpdateAccount() {
  if (!account_ || closed_) return;
  account_->SetIdle(HeapBytes(partial_line_) + HeapBytes(unsent_));
  if (MayRead() && on_line_) WaitReadable();
}

/// Reads on after other connections made room.
void LineSocket::Resume() {
  if (!account_ || closed_) return;
  account_->Refresh();
  if (MayRead()) WaitReadable();
}

bool LineSocket::MayRead() const { return !account_ || !account_->paused(); }

void LineSocket::SetWork(std::size_t bytes) {
  if (!account_ || closed_) return;
  account_->SetWork(bytes);
  if (MayRead() && on_line_) WaitReadable();
}

void LineSocket::Note(Limit limit) {
  if (account_) account_->Note(limit);
}

void LineSocket::WaitReadable() {
  if (waiting_readable_ || closed_) return;
  waiting_readable_ = true;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](error_code ec) {
                       self->waiting_readable_ = false;
                       if (self->closed_ || !self->MayRead()) return;
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
  UpdateAccount();
  if (MayRead()) WaitReadable();
}

/// Passes complete lines to the callback. Returns false once closed.
bool LineSocket::Consume(std::string_view bytes) {
  const auto self = shared_from_this();
  while (!bytes.empty()) {
    const std::size_t end = bytes.find('\n');
    if (end == std::string_view::npos) {
      // The last byte may be the CR of the line ending.
      if (partial_line_.size() + bytes.size() > limits_.max_line_bytes + 1) {
        Note(Limit::kLineTooLong);
        return Refuse("line too long");
      }
      KeepPart(bytes);
      return true;
    }
    std::string_view line = bytes.substr(0, end);
    bytes.remove_prefix(end + 1);
    std::string joined;
    if (!partial_line_.empty()) {
      joined = std::exchange(partial_line_, {});
      line_timer_.reset();
      joined.append(line);
      line = joined;
    }
    if (line.empty() || line.back() != '\r') return Refuse("LF without CR");
    line.remove_suffix(1);
    if (line.find('\r') != std::string_view::npos) {
      return Refuse("CR without LF");
    }
    if (line.size() > limits_.max_line_bytes) {
      Note(Limit::kLineTooLong);
      return Refuse("line too long");
    }
    if (!started_) {
      started_ = true;
      line_timer_.reset();
      if (account_) account_->SetStarted(true);
    }
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

/// Keeps the beginning of a line. The capacity grows with what has arrived.
void LineSocket::KeepPart(std::string_view bytes) {
  const bool start_timed = !started_ && limits_.start_timeout > Duration(0);
  if (partial_line_.empty() && !start_timed) {
    StartLineTimer(limits_.line_timeout, Limit::kLineTimeout,
                   "line not finished in time");
  }
  const std::size_t needed = partial_line_.size() + bytes.size();
  if (needed > partial_line_.capacity()) {
    // The longest line and its CR.
    const std::size_t longest = limits_.max_line_bytes + 1;
    partial_line_.reserve(std::max(needed, std::min(needed * 2, longest)));
  }
  partial_line_.append(bytes);
}

void LineSocket::StartLineTimer(Duration timeout, Limit limit,
                                const std::string& reason) {
  line_timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
  line_timer_->expires_after(timeout);
  line_timer_->async_wait(
      [weak = weak_from_this(), limit, reason](error_code ec) {
        const auto self = weak.lock();
        if (ec || !self || self->closed_) return;
        self->Note(limit);
        self->Fail(reason);
      });
}

/// Closes the connection unless what is unsent now has been sent in time.
void LineSocket::StartReaderTimer() {
  if (limits_.reader_timeout <= Duration(0) || reader_timer_) return;
  reader_timer_ = std::make_unique<asio::steady_timer>(socket_.get_executor());
  reader_timer_->expires_after(limits_.reader_timeout);
  const std::size_t due = sent_bytes_ + unsent_.size();
  reader_timer_->async_wait([weak = weak_from_this(), due](error_code ec) {
    const auto self = weak.lock();
    if (ec || !self || self->closed_) return;
    self->reader_timer_.reset();
    if (self->sent_bytes_ < due) {
      self->Note(Limit::kSlowReader);
      return self->Fail("peer does not read in time");
    }
    if (!self->unsent_.empty()) self->StartReaderTimer();
  });
}

void LineSocket::Flush() {
  if (closed_ || unsent_.empty()) return;
  if (!waiting_writable_ && !WriteSome()) return;
  if (unsent_.empty()) {
    reader_timer_.reset();
    if (unsent_.capacity() > kKeptBufferBytes) unsent_ = std::string();
    return UpdateAccount();
  }
  // Also while it waits, as further answers may have been appended.
  if (unsent_.size() > limits_.max_unsent_bytes) {
    Note(Limit::kSlowReader);
    return Fail("peer does not read");
  }
  UpdateAccount();
  StartReaderTimer();
  if (!waiting_writable_) WaitWritable();
}

/// Sends what the socket accepts. Returns false if the connection has failed.
bool LineSocket::WriteSome() {
  error_code ec;
  const std::size_t n = socket_.write_some(asio::buffer(unsent_), ec);
  if (ec && ec != asio::error::would_block && ec != asio::error::try_again) {
    // The next read fails too and reports the close, so callers learn of it in
    // one place.
    unsent_ = std::string();
    UpdateAccount();
    return false;
  }
  unsent_.erase(0, n);
  sent_bytes_ += n;
  return true;
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
  if (closed_) return;
  closed_ = true;
  Release();
}

/// Frees what a closed connection held.
void LineSocket::Release() {
  error_code ignored;
  socket_.close(ignored);
  line_timer_.reset();
  reader_timer_.reset();
  partial_line_ = std::string();
  unsent_ = std::string();
  account_.reset();
}

void LineSocket::Fail(const std::string& reason) {
  if (closed_) return;
  closed_ = true;
  Release();
  const OnClosed on_closed = std::exchange(on_closed_, {});
  if (on_closed) on_closed(reason);
}

}  // namespace corianderdock::net
