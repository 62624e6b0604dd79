#include "corianderdock/net/http_server.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <stdexcept>

namespace corianderdock::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

/// One keep-alive connection; confined to its context's thread.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, const HttpLimits& limits,
          const HttpHandler& handler)
      : stream_(std::move(socket)), limits_(limits), handler_(handler) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(limits_.max_body_bytes);
    stream_.expires_after(limits_.idle_timeout);
    http::async_read_header(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec) return self->Fail(ec);
          self->ReadBody();
        });
  }

 private:
  void ReadBody() {
    stream_.expires_after(limits_.body_timeout);
    http::async_read(
        stream_, buffer_, *parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec) return self->Fail(ec);
          self->Handle();
        });
  }

  void Handle() {
    stream_.expires_never();
    HttpRequest request;
    request.method = std::string(parser_->get().method_string());
    request.target = std::string(parser_->get().target());
    request.body = std::move(parser_->get().body());
    keep_alive_ = parser_->get().keep_alive();
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
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
    on_disconnect_ = nullptr;
    response_.emplace(static_cast<http::status>(response.status), 11U);
    response_->set(http::field::content_type, response.content_type);
    if (response.make_body) response_->body() = response.make_body();
    response_->keep_alive(keep_alive_ && !response.close);
    response_->prepare_payload();
    stream_.expires_after(limits_.body_timeout);
    http::async_write(
        stream_, *response_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec) return;
          if (!self->response_->keep_alive()) return self->Close();
          self->Read();
        });
  }

  void Fail(beast::error_code ec) {
    if (ec == http::error::end_of_stream || ec == asio::error::eof ||
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

  void Close() {
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.close();
  }

  beast::tcp_stream stream_;
  const HttpLimits& limits_;
  const HttpHandler& handler_;
  beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::string_body>> response_;
  std::function<void()> on_disconnect_;
  bool keep_alive_ = true;
};

}  // namespace

struct HttpServer::State {
  State(std::vector<asio::io_context*> contexts, const tcp::endpoint& endpoint,
        HttpLimits limits, HttpHandler handler)
      : contexts(std::move(contexts)),
        acceptor(*this->contexts.front(), endpoint),
        retry_timer(*this->contexts.front()),
        limits(limits),
        handler(std::move(handler)) {}

  std::vector<asio::io_context*> contexts;
  tcp::acceptor acceptor;
  asio::steady_timer retry_timer;
  HttpLimits limits;
  HttpHandler handler;
  std::size_t next_context = 0;
};

HttpServer::HttpServer(std::vector<asio::io_context*> contexts,
                       const tcp::endpoint& endpoint, HttpLimits limits,
                       HttpHandler handler)
    : state_(std::make_shared<State>(std::move(contexts), endpoint, limits,
                                     std::move(handler))) {
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
  state->acceptor.async_accept(
      io, [state, &io](beast::error_code ec, tcp::socket socket) {
        if (ec == asio::error::operation_aborted) return;
        if (ec) {
          // Most likely out of file descriptors: retry when connections may
          // have closed.
          constexpr Milliseconds kRetryPause{50};
          state->retry_timer.expires_after(kRetryPause);
          state->retry_timer.async_wait(
              [state](beast::error_code) { Accept(state); });
          return;
        }
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto session = std::make_shared<Session>(std::move(socket),
                                                 state->limits, state->handler);
        asio::post(io, [state, session] { session->Read(); });
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
