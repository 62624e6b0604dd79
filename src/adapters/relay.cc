#include "corianderdock/net/relay.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <stdexcept>
#include <utility>
#include <vector>

#include "corianderdock/net/http_server.h"
#include "corianderdock/net/tcp_options.h"

namespace corianderdock::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::string_view kRelayCommand = "RELAY ";
constexpr std::size_t kBufferBytes = 16 << 10;
/// The first line, and what the instance sent with it.
constexpr std::size_t kMaxInitialBytes = kMaxRelayLineBytes + kBufferBytes;
/// A relayed connection has one socket on either side.
constexpr std::size_t kDescriptors = 2;
/// Until a connection can be accepted again, as others close.
constexpr Duration kAcceptRetryPause = std::chrono::milliseconds(50);
/// From accepting a connection until its server is connected.
constexpr Duration kSetupTimeout = std::chrono::milliseconds(1000);
/// Time without a response after which either peer is considered lost.
constexpr Duration kPeerTimeout = std::chrono::seconds(3);

/// One relayed connection.
class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
 public:
  RelayedConnection(tcp::socket client, std::shared_ptr<BudgetAccount> account)
      : client_(std::move(client)),
        server_(client_.get_executor()),
        setup_timer_(client_.get_executor()),
        account_(std::move(account)) {}

  void Start(const Relay::IsAllowed& is_allowed) {
    if (account_) {
      account_->budget().OnClose(
          *account_,
          [weak = weak_from_this(), executor = client_.get_executor()] {
            asio::post(executor, [weak] {
              if (const auto self = weak.lock()) self->Close();
            });
          });
    }
    SetTcpOptions(client_, kPeerTimeout);
    setup_timer_.expires_after(kSetupTimeout);
    setup_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->Close();
    });
    asio::async_read_until(
        client_, asio::dynamic_buffer(initial_bytes_, kMaxInitialBytes), '\n',
        [self = shared_from_this(), &is_allowed](error_code ec, std::size_t n) {
          if (ec) return self->Close();
          self->OnFirstLine(n, is_allowed);
        });
  }

 private:
  void OnFirstLine(std::size_t n, const Relay::IsAllowed& is_allowed) {
    const std::string address = ParseRelayLine(initial_bytes_.substr(0, n - 1));
    initial_bytes_.erase(0, n);
    if (address.empty() || !is_allowed(address)) return Close();
    tcp::endpoint endpoint;
    try {
      endpoint = ParseEndpoint(address);
    } catch (const std::invalid_argument&) {
      return Close();
    }
    server_.async_connect(endpoint, [self = shared_from_this()](error_code ec) {
      if (ec) return self->Close();
      self->OnConnected();
    });
  }

  static std::string ParseRelayLine(const std::string& line) {
    const bool valid =
        line.size() <= kMaxRelayLineBytes && line.rfind(kRelayCommand, 0) == 0;
    return valid ? line.substr(kRelayCommand.size()) : std::string();
  }

  void OnConnected() {
    setup_timer_.cancel();
    to_server_.resize(kBufferBytes);
    to_client_.resize(kBufferBytes);
    if (account_) {
      account_->SetStarted(true);
      account_->SetIdle(2 * kBufferBytes + initial_bytes_.size());
    }
    SetTcpOptions(server_, kPeerTimeout);
    asio::async_write(server_, asio::buffer(initial_bytes_),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (ec) return self->Close();
                        self->Forward(self->client_, self->server_,
                                      self->to_server_);
                      });
    Forward(server_, client_, to_client_);
  }

  void Forward(tcp::socket& from, tcp::socket& to, std::vector<char>& buf) {
    from.async_read_some(asio::buffer(buf), [self = shared_from_this(), &from,
                                             &to, &buf](error_code ec,
                                                        std::size_t n) {
      if (ec) return self->Close();
      asio::async_write(to, asio::buffer(buf, n),
                        [self, &from, &to, &buf](error_code ec, std::size_t) {
                          if (ec) return self->Close();
                          self->Forward(from, to, buf);
                        });
    });
  }

  void Close() {
    error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
    setup_timer_.cancel();
    account_.reset();
  }

  tcp::socket client_;
  tcp::socket server_;
  asio::steady_timer setup_timer_;
  std::string initial_bytes_;    ///< first line, and bytes read with it
  std::vector<char> to_server_;  ///< empty until connected
  std::vector<char> to_client_;
  std::shared_ptr<BudgetAccount> account_;
};

}  // namespace

std::string RelayLine(std::string_view address) {
  return std::string(kRelayCommand).append(address).append("\n");
}

Relay::Relay(asio::io_context& io, const tcp::endpoint& endpoint,
             IsAllowed is_allowed, std::shared_ptr<ConnectionBudget> budget)
    : acceptor_(io, endpoint),
      retry_timer_(io),
      is_allowed_(std::move(is_allowed)),
      budget_(std::move(budget)) {
  Accept();
}

void Relay::Accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) return RetryAccept();
    std::shared_ptr<BudgetAccount> account;
    if (budget_) account = budget_->Open(PeerKind::kInstance, kDescriptors);
    if (account || !budget_) {
      std::make_shared<RelayedConnection>(std::move(socket), std::move(account))
          ->Start(is_allowed_);
    }
    Accept();
  });
}

/// Most likely there is no free descriptor: accepts again when connections may
/// have closed.
void Relay::RetryAccept() {
  if (budget_) budget_->Note(Limit::kDescriptorTable);
  retry_timer_.expires_after(kAcceptRetryPause);
  retry_timer_.async_wait([this](error_code ec) {
    if (!ec) Accept();
  });
}

}  // namespace corianderdock::net
