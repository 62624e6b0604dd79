#include "corianderdock/net/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <stdexcept>
#include <utility>

namespace corianderdock::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// Read from the socket at a time.
constexpr std::size_t kBufferBytes = std::size_t{64} << 10;
/// Larger buffers are freed between requests.
constexpr std::size_t kKeptBufferBytes = 4 << 10;
/// Copies of a body while its request is parsed and processed.
constexpr std::size_t kCopiesInWork = 4;

/// A body in a string that grows with what arrives, rather than to the size
/// that the client announces.
struct ReceivedBody {
  using value_type = std::string;

  class Reader {
   public:
    template <bool IsRequest, class Fields>
    Reader(http::header<IsRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, beast::error_code& ec) {
      ec = {};
    }
    template <class Buffers>
    std::size_t put(const Buffers& buffers, beast::error_code& ec) {
      ec = {};
      std::size_t n = 0;
      for (const asio::const_buffer it : beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(it.data()), it.size());
        n += it.size();
      }
      return n;
    }
    void finish(beast::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
  using reader = Reader;  // the name that Beast's concept requires
};

/// One keep-alive connection; confined to its context's thread.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, const HttpLimits& limits,
          const HttpHandler& handler, std::shared_ptr<BudgetAccount> account)
      : stream_(std::move(socket)),
        limits_(limits),
        handler_(handler),
        account_(std::move(account)) {}

  void Start() {
    if (account_) {
      account_->budget().OnClose(
          *account_,
          [weak = weak_from_this(), executor = stream_.get_executor()] {
            asio::post(executor, [weak] {
              if (const auto self = weak.lock()) self->CloseOverBudget();
            });
          });
    }
    Read();
  }

 private:
  void Read() {
    if (closed_) return;
    parser_.emplace();
    parser_->body_limit(limits_.max_body_bytes);
    parser_->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    response_.reset();
    if (buffer_.capacity() > kKeptBufferBytes) buffer_.shrink_to_fit();
    SetAccount(0, 0);
    if (account_) account_->SetStarted(false);
    stream_.expires_after(limits_.idle_timeout);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec) return self->Fail(ec);
          if (self->account_) self->account_->SetStarted(true);
          self->stream_.expires_after(self->limits_.body_timeout);
          self->ReadBody();
        });
  }

  /// Reads the body in parts, so that each one counts.
  void ReadBody() {
    if (closed_) return;
    SetAccount(parser_->get().body().capacity(), 0);
    if (parser_->is_done()) return Handle();
    http::async_read_some(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec) return self->Fail(ec);
          self->ReadBody();
        });
  }

  /// Counts the buffer of the socket, and what else is held.
  void SetAccount(std::size_t idle, std::size_t work) {
    if (!account_) return;
    account_->SetIdle(buffer_.capacity() + idle);
    account_->SetWork(work);
  }

  void CloseOverBudget() {
    if (on_disconnect_) std::exchange(on_disconnect_, nullptr)();
    Close();
  }

  void Handle() {
    stream_.expires_never();
    HttpRequest request;
    request.method = std::string(parser_->get().method_string());
    request.target = std::string(parser_->get().target());
    request.body = std::move(parser_->get().body());
    keep_alive_ = parser_->get().keep_alive();
    SetAccount(0, request.body.size() * kCopiesInWork);
    WatchForDisconnect();
    on_disconnect_ = nullptr;
    handler_(
        request,
        [self = shared_from_this()](HttpResponse response) {
          asio::post(self->stream_.get_executor(),
                     [self, response = std::move(response)] {
                       self->Write(response);
                     });
        },
        on_disconnect_);
  }

  /// A socket that is readable but has no data was closed by the client.
  void WatchForDisconnect() {
    stream_.socket().async_wait(
        tcp::socket::wait_read,
        [weak = weak_from_this()](beast::error_code ec) {
          const auto self = weak.lock();
          if (ec || !self) return;
          beast::error_code ignored;
          if (self->stream_.socket().available(ignored) > 0) return;
          if (self->on_disconnect_) self->on_disconnect_();
        });
  }

  void Write(const HttpResponse& response) {
    if (closed_) return;
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
    on_disconnect_ = nullptr;
    response_.emplace(static_cast<http::status>(response.status), 11U);
    response_->set(http::field::content_type, response.content_type);
    if (response.make_body) response_->body() = response.make_body();
    response_->keep_alive(keep_alive_ && !response.close);
    response_->prepare_payload();
    SetAccount(response_->body().capacity(), 0);
    stream_.expires_after(limits_.body_timeout);
    http::async_write(
        stream_, *response_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec == beast::error::timeout) self->Note(Limit::kHttpTimeout);
          if (ec) return self->Close();
          if (!self->response_->keep_alive()) return self->Close();
          self->Read();
        });
  }

  void Note(Limit limit) {
    if (account_) account_->Note(limit);
  }

  void Fail(beast::error_code ec) {
    // A connection that is idle between requests didn't meet a limit.
    if (ec == beast::error::timeout &&
        (buffer_.size() > 0 || parser_->got_some())) {
      Note(Limit::kHttpTimeout);
    }
    if (ec == http::error::body_limit || ec == http::error::header_limit ||
        ec == http::error::buffer_overflow) {
      Note(Limit::kHttpTooLarge);
    }
    if (closed_ || ec == http::error::end_of_stream || ec == asio::error::eof ||
        ec == asio::error::operation_aborted || ec == beast::error::timeout) {
      return Close();
    }
    keep_alive_ = false;
    HttpResponse response;
    response.status = ec == http::error::body_limit ? 413 : 400;
    response.content_type = "text/plain";
    response.make_body = [ec] { return ec.message() + "\n"; };
    Write(response);
  }

  /// A handler may keep the session until it responds.
  void Close() {
    closed_ = true;
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
    account_.reset();
  }

  beast::tcp_stream stream_;
  const HttpLimits& limits_;
  const HttpHandler& handler_;
  std::shared_ptr<BudgetAccount> account_;
  beast::flat_buffer buffer_{kBufferBytes};
  std::optional<http::request_parser<ReceivedBody>> parser_;
  std::optional<http::response<http::string_body>> response_;
  std::function<void()> on_disconnect_;
  bool keep_alive_ = true;
  bool closed_ = false;
};

}  // namespace

struct HttpServer::State {
  State(std::vector<asio::io_context*> contexts, const tcp::endpoint& endpoint,
        HttpLimits limits, HttpHandler handler,
        std::shared_ptr<ConnectionBudget> budget)
      : contexts(std::move(contexts)),
        acceptor(*this->contexts.front(), endpoint),
        retry_timer(*this->contexts.front()),
        limits(limits),
        handler(std::move(handler)),
        budget(std::move(budget)) {}

  std::vector<asio::io_context*> contexts;
  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  HttpLimits limits;
  HttpHandler handler;
  std::shared_ptr<ConnectionBudget> budget;
  std::size_t next_context = 0;
};

HttpServer::HttpServer(std::vector<asio::io_context*> contexts,
                       const tcp::endpoint& endpoint, HttpLimits limits,
                       HttpHandler handler,
                       std::shared_ptr<ConnectionBudget> budget)
    : state_(std::make_shared<State>(std::move(contexts), endpoint, limits,
                                     std::move(handler), std::move(budget))) {
  Accept(state_);
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() {
  asio::post(state_->acceptor.get_executor(), [state = state_] {
    beast::error_code ignored;
    state->acceptor.close(ignored);
  });
}

void HttpServer::Accept(const std::shared_ptr<State>& state) {
  asio::io_context& io =
      *state->contexts[state->next_context++ % state->contexts.size()];
  state->acceptor.async_accept(io, [state, &io](beast::error_code ec,
                                                tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      // Most likely out of file descriptors: retry when connections may
      // have closed.
      if (state->budget) state->budget->Note(Limit::kDescriptorTable);
      constexpr Milliseconds kRetryPause{50};
      state->retry_timer.expires_after(kRetryPause);
      state->retry_timer.async_wait(
          [state](beast::error_code) { Accept(state); });
      return;
    }
    beast::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::shared_ptr<BudgetAccount> account;
    if (state->budget) account = state->budget->Open(state->limits.kind);
    if (account || !state->budget) {
      auto session = std::make_shared<Session>(
          std::move(socket), state->limits, state->handler, std::move(account));
      asio::post(io, [state, session] { session->Start(); });
    }
    Accept(state);
  });
}

tcp::endpoint ParseEndpoint(const std::string& address) {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("expected IP:PORT, found " + address);
  }
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) {
    throw std::invalid_argument("expected IP:PORT, found " + address);
  }
  return {ip, port};
}

}  // namespace corianderdock::net
