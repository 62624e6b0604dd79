/// \file
/// TCP connection of a line-based protocol.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "corianderdock/net/connection_budget.h"
#include "corianderdock/types.h"

namespace corianderdock::net {

/// Limits of one connection.
struct LineLimits {
  std::size_t max_line_bytes = 1 << 20;    ///< without the line ending
  std::size_t max_unsent_bytes = 4 << 20;  ///< bytes the socket did not accept
  /// Longest time from the first byte of a line to its end.
  Duration line_timeout = std::chrono::seconds(10);
  /// Longest time from `Start` to the end of the first line; 0: not limited.
  Duration start_timeout{0};
  /// Longest time in which the peer must accept what is unsent; 0: not limited.
  Duration reader_timeout{0};
  /// Time after which unacknowledged data or unanswered keep-alive probes end
  /// the connection.
  Duration peer_timeout = std::chrono::seconds(3);
};

/// Reads lines that end in CR LF, and batches writes until `Flush`. A CR or LF
/// alone is neither a line ending nor part of a line. Confined to its
/// io_context's thread.
///
/// \code
/// auto socket = LineSocket::Make(std::move(tcp_socket), limits);
/// socket->Start(on_line, on_closed);
/// socket->Write("READY I -\r\n");
/// socket->Flush();
/// \endcode
class LineSocket : public std::enable_shared_from_this<LineSocket> {
 public:
  /// Receives a line without its line ending.
  using OnLine = std::function<void(std::string_view)>;
  /// Receives the reason; called at most once, and not after `Close`.
  using OnClosed = std::function<void(std::string)>;
  /// Receives the reason for which the peer's input isn't a line; called at
  /// most once. It may write a last line and call `Close`; otherwise the
  /// connection is closed afterwards and `OnClosed` called.
  using OnInvalid = std::function<void(std::string)>;

  /// With an `account`, the connection counts in a budget, is closed when that
  /// is exceeded, and isn't read while it holds too much.
  [[nodiscard]] static std::shared_ptr<LineSocket> Make(
      boost::asio::ip::tcp::socket socket, const LineLimits& limits,
      std::shared_ptr<BudgetAccount> account = nullptr);

  /// Begins to read. \pre The socket is connected.
  void Start(OnLine on_line, OnClosed on_closed, OnInvalid on_invalid = {});

  /// Replaces the limits, for what is read or written from now on.
  void SetLimits(const LineLimits& limits) { limits_ = limits; }

  /// Appends bytes; the next `Flush` sends them.
  void Write(std::string_view bytes) { unsent_.append(bytes); }

  /// The bytes not sent yet, for appending in place.
  [[nodiscard]] std::string& unsent() noexcept { return unsent_; }

  /// Sends the unsent bytes; the rest follows when the socket is writable.
  void Flush();

  /// Sends the unsent bytes that the socket accepts without blocking, then
  /// closes.
  void Close();

  /// Sets the bytes of lines that were passed on and are still in process.
  void SetWork(std::size_t bytes);

  [[nodiscard]] bool closed() const noexcept { return closed_; }

 private:
  LineSocket(boost::asio::ip::tcp::socket socket, const LineLimits& limits,
             std::shared_ptr<BudgetAccount> account);
  void CloseOverBudget();
  void UpdateAccount();
  void Resume();
  [[nodiscard]] bool MayRead() const;
  void KeepPart(std::string_view bytes);
  void StartReaderTimer();
  void Note(Limit limit);
  void WaitReadable();
  void ReadSome();
  bool Consume(std::string_view bytes);
  bool Refuse(const std::string& reason);
  bool WriteSome();
  void WaitWritable();
  void StartLineTimer(Duration timeout, Limit limit, const std::string& reason);
  void Fail(const std::string& reason);
  void Release();

  boost::asio::ip::tcp::socket socket_;
  LineLimits limits_;
  OnLine on_line_;
  OnClosed on_closed_;
  OnInvalid on_invalid_;
  std::string partial_line_;  ///< beginning of an incomplete line
  std::unique_ptr<boost::asio::steady_timer> line_timer_;
  std::unique_ptr<boost::asio::steady_timer> reader_timer_;
  std::shared_ptr<BudgetAccount> account_;
  std::size_t sent_bytes_ = 0;  ///< in total
  bool started_ = false;        ///< the first line has arrived
  bool waiting_readable_ = false;
  std::string unsent_;
  bool waiting_writable_ = false;
  bool closed_ = false;
};

}  // namespace corianderdock::net
