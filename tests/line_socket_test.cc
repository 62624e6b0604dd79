/// Where a line of a TCP connection ends, and what isn't a line.
#include "corianderdock/net/line_socket.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace corianderdock::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kMaxLineBytes = net::LineLimits().max_line_bytes;

/// A `LineSocket` and its peer, on loopback.
class Connection {
 public:
  Connection() : peer_(io_) {
    tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
    peer_.connect(acceptor.local_endpoint());
    socket_ = net::LineSocket::Make(acceptor.accept(), {});
    socket_->Start(
        [this](std::string_view it) { lines.emplace_back(it); },
        [this](const std::string& reason) { closed.push_back(reason); },
        [this](const std::string& reason) {
          invalid.push_back(reason);
          if (on_invalid) on_invalid(*socket_);
        });
  }

  /// Sends bytes and waits until they have been read.
  void Send(std::string_view bytes) {
    peer_.non_blocking(true);
    while (!bytes.empty() && !socket_->closed()) {
      boost::system::error_code ec;
      bytes.remove_prefix(peer_.write_some(asio::buffer(bytes), ec));
      if (ec && ec != asio::error::would_block) break;
      Poll();
    }
    Poll();
  }

  void ClosePeer() {
    peer_.close();
    Poll();
  }

  /// What the socket has sent.
  std::string Received() {
    std::string bytes(256, '\0');
    boost::system::error_code ec;
    peer_.non_blocking(true);
    bytes.resize(peer_.read_some(asio::buffer(bytes), ec));
    return bytes;
  }

  std::vector<std::string> lines;
  std::vector<std::string> closed;   ///< reasons
  std::vector<std::string> invalid;  ///< reasons
  std::function<void(net::LineSocket&)> on_invalid;

 private:
  /// Runs what is ready; loopback delivers at once or within the time.
  void Poll() {
    io_.restart();
    (void)io_.run_for(Milliseconds(5));
  }

  asio::io_context io_;
  tcp::socket peer_;
  std::shared_ptr<net::LineSocket> socket_;
};

}  // namespace

TEST_CASE("lines end in CR LF, wherever reads divide them") {
  const std::string bytes =
      "READ a\r\n\r\n" + std::string("\0\xff b", 4) + "\r\n";
  const std::vector<std::string> lines = {"READ a", "",
                                          std::string("\0\xff b", 4)};
  for (std::size_t cut = 1; cut < bytes.size(); ++cut) {
    Connection it;
    it.Send(bytes.substr(0, cut));
    it.Send(bytes.substr(cut));
    CHECK(it.lines == lines);
    CHECK(it.closed.empty());
  }
}

// Guards against a statement that is smuggled inside another one: a LF within
// it ended the line.
TEST_CASE("a CR or LF alone ends the connection") {
  for (const char* bytes : {"SET v 1\nQUERY x WRITE b stolen\r\n", "\n",
                            "a\rb\r\n", "\r\r\n", "a\r\r\n", "a\n\r\n"}) {
    Connection it;
    it.Send("before\r\n");
    it.Send(std::string(bytes) + "after\r\n");
    CHECK(it.lines == std::vector<std::string>{"before"});
    CHECK(it.invalid.size() == 1);
    CHECK(it.closed == it.invalid);
  }
}

TEST_CASE("a CR at the end of a read isn't a line ending by itself") {
  Connection it;
  it.Send("a\r");
  CHECK(it.lines.empty());
  it.Send("b\r\n");
  CHECK(it.lines.empty());
  CHECK(it.invalid.size() == 1);
}

TEST_CASE("the peer of an invalid line can be answered") {
  Connection it;
  it.on_invalid = [](net::LineSocket& socket) {
    socket.Write("ERR\r\n");
    socket.Close();
  };
  it.Send("a\n");
  CHECK(it.Received() == "ERR\r\n");
  CHECK(it.invalid.size() == 1);
  CHECK(it.closed.empty());
}

// Guards against a limit that counts the CR of a line that is divided by reads,
// and doesn't count that of others.
TEST_CASE("the longest line is accepted, and one byte more is refused") {
  const std::string longest(kMaxLineBytes, 'x');
  for (const std::size_t cut :
       {std::size_t{1}, kMaxLineBytes, kMaxLineBytes + 1}) {
    const std::string bytes = longest + "\r\n";
    Connection it;
    it.Send(bytes.substr(0, cut));
    it.Send(bytes.substr(cut));
    CHECK((it.lines == std::vector{longest}));
    it.Send("x" + bytes);
    CHECK(it.lines.size() == 1);
    CHECK(it.invalid.size() == 1);
  }
}

TEST_CASE("a line without an end is refused at the limit") {
  Connection it;
  it.Send(std::string(kMaxLineBytes + 2, 'x'));
  CHECK(it.invalid.size() == 1);
}

TEST_CASE("a line that is cut off isn't a line") {
  Connection it;
  it.Send("DONE receipt\r\nREADY I 1.1\r");
  it.ClosePeer();
  CHECK(it.lines == std::vector<std::string>{"DONE receipt"});
  CHECK(it.invalid.empty());
  CHECK(it.closed.size() == 1);
}

}  // namespace corianderdock::test
