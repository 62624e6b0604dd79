/// \file
/// A TCP connection that carries lines.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "corianderdock/types.h"

namespace corianderdock::net {

/// Limits of one connection.
struct LineLimits {
  std::size_t longest_line = 1 << 20;  ///< bytes
  std::size_t most_unsent = 4 << 20;   ///< bytes that the peer did not read
  /// Longest time from a line's first byte to its end.
  Duration whole_line = std::chrono::seconds(10);
  /// Unacknowledged bytes or unanswered keep-alive probes end a connection
  /// after this.
  Duration peer_silence = std::chrono::seconds(3);
};

/// Reads lines ended by LF or CR LF and writes bytes in batches. Confined to
/// its io_context's thread.
///
/// \code
/// auto socket = LineSocket::Make(std::move(tcp_socket), limits);
/// socket->Start(on_line, on_closed);
/// socket->Write("READY I -\r\n");
/// socket->Flush();
/// \endcode
class LineSocket : public std::enable_shared_from_this<LineSocket> {
 public:
  /// Receives a line without its end.
  using OnLine = std::function<void(std::string_view)>;
  /// Receives the reason; called at most once, and not after `Close`.
  using OnClosed = std::function<void(std::string)>;

  [[nodiscard]] static std::shared_ptr<LineSocket> Make(
      boost::asio::ip::tcp::socket socket, const LineLimits& limits);

  /// Begins to read. \pre The socket is connected.
  void Start(OnLine on_line, OnClosed on_closed);

  /// Appends bytes; they leave with the next `Flush`.
  void Write(std::string_view bytes) { unsent_.append(bytes); }

  /// Appends to the unsent bytes directly.
  [[nodiscard]] std::string& unsent() noexcept { return unsent_; }

  /// Sends what was written.
  void Flush();

  /// Sends what was written as far as possible at once, then closes.
  void Close();

  [[nodiscard]] bool closed() const noexcept { return closed_; }

 private:
  LineSocket(boost::asio::ip::tcp::socket socket, const LineLimits& limits);
  void WaitReadable();
  void ReadSome();
  bool Consume(std::string_view bytes);
  void WaitWritable();
  void LimitPartialLine();
  void Fail(const std::string& reason);

  boost::asio::ip::tcp::socket socket_;
  LineLimits limits_;
  OnLine on_line_;
  OnClosed on_closed_;
  std::string partial_;  ///< start of a line that has not ended
  std::unique_ptr<boost::asio::steady_timer> partial_limit_;
  std::string unsent_;
  bool waiting_writable_ = false;
  bool closed_ = false;
};

}  // namespace corianderdock::net
