#include "corianderdock/net/http_client.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <stdexcept>
#include <utility>

#include "corianderdock/net/http_server.h"

namespace corianderdock::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr Duration kMaxIdleTime = std::chrono::seconds(5);
constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr std::size_t kMaxResponseBytes = 16 << 20;

struct IdleStream {
  std::unique_ptr<beast::tcp_stream> stream;
  TimePoint idle_since;
};

}  // namespace

/// Idle connections by address.
struct HttpClient::Pool {
  std::map<std::string, std::vector<IdleStream>> idle;

  std::unique_ptr<beast::tcp_stream> Take(const std::string& address) {
    auto& streams = idle[address];
    while (!streams.empty()) {
      IdleStream last = std::move(streams.back());
      streams.pop_back();
      if (Clock::now() - last.idle_since >= kMaxIdleTime) {
        streams.clear();  // the others have been idle for longer
        break;
      }
      beast::error_code ec;
      const bool silent = last.stream->socket().available(ec) == 0 && !ec;
      if (silent) return std::move(last.stream);
    }
    return nullptr;
  }

  void Put(const std::string& address,
           std::unique_ptr<beast::tcp_stream> stream) {
    auto& streams = idle[address];
    if (streams.size() < kMaxIdlePerAddress) {
      streams.push_back({std::move(stream), Clock::now()});
    }
  }
};

/// One request and its response.
class HttpClient::Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& io, std::shared_ptr<Pool> pool,
           std::string address, Duration timeout, Callback callback)
      : io_(io),
        pool_(std::move(pool)),
        address_(std::move(address)),
        deadline_(Clock::now() + timeout),
        callback_(std::move(callback)) {}

  void Run(HttpCall call) {
    request_.method_string(call.method);
    request_.target(call.target);
    request_.version(11);
    request_.set(http::field::host, address_);
    request_.set(http::field::content_type, "application/json");
    for (const auto& [name, value] : call.headers) request_.set(name, value);
    request_.body() = std::move(call.body);
    request_.keep_alive(true);
    request_.prepare_payload();
    stream_ = pool_->Take(address_);
    if (stream_) return Write();
    Connect();
  }

 private:
  void Connect() {
    stream_ = std::make_unique<beast::tcp_stream>(io_);
    stream_->expires_at(deadline_);
    asio::ip::tcp::endpoint endpoint;
    try {
      endpoint = ParseEndpoint(address_);
    } catch (const std::invalid_argument&) {
      return asio::post(io_, [self = shared_from_this()] { self->Fail(); });
    }
    stream_->async_connect(endpoint,
                           [self = shared_from_this()](beast::error_code ec) {
                             if (ec) return self->Fail();
                             beast::error_code ignored;
                             self->stream_->socket().set_option(
                                 asio::ip::tcp::no_delay(true), ignored);
                             self->Write();
                           });
  }

  void Write() {
    result_.sent = true;
    stream_->expires_at(deadline_);
    http::async_write(
        *stream_, request_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec) return self->Fail();
          self->Read();
        });
  }

  void Read() {
    parser_.body_limit(kMaxResponseBytes);
    http::async_read(
        *stream_, buffer_, parser_,
        [self = shared_from_this()](beast::error_code ec, std::size_t) {
          if (ec) return self->Fail();
          self->Finish();
        });
  }

  void Finish() {
    result_.ok = true;
    result_.status = static_cast<int>(parser_.get().result_int());
    result_.body = std::move(parser_.get().body());
    for (const auto& it : parser_.get()) {
      result_.headers.emplace_back(it.name_string(), it.value());
    }
    // Bytes after the response are none that the next request asked for.
    if (parser_.get().keep_alive() && buffer_.size() == 0) {
      stream_->expires_never();
      pool_->Put(address_, std::move(stream_));
    }
    callback_(std::move(result_));
  }

  void Fail() {
    if (stream_) stream_->close();
    callback_(std::move(result_));
  }

  asio::io_context& io_;
  std::shared_ptr<Pool> pool_;
  std::string address_;
  TimePoint deadline_;
  Callback callback_;
  HttpResult result_;
  std::unique_ptr<beast::tcp_stream> stream_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
};

const std::string* HttpResult::Header(std::string_view name) const {
  const std::string* value = nullptr;
  for (const auto& [key, text] : headers) {
    if (!beast::iequals(key, name)) continue;
    if (value) return nullptr;
    value = &text;
  }
  return value;
}

HttpClient::HttpClient(asio::io_context& io)
    : io_(io), pool_(std::make_shared<Pool>()) {}

HttpClient::~HttpClient() = default;

void HttpClient::Post(const std::string& address, const std::string& target,
                      std::string body, Duration timeout, Callback callback) {
  Send({"POST", address, target, std::move(body), {}}, timeout,
       std::move(callback));
}

void HttpClient::Get(const std::string& address, const std::string& target,
                     Duration timeout, Callback callback) {
  Send({"GET", address, target, {}, {}}, timeout, std::move(callback));
}

void HttpClient::Send(HttpCall call, Duration timeout, Callback callback) {
  const auto exchange = std::make_shared<Exchange>(
      io_, pool_, call.address, timeout, std::move(callback));
  exchange->Run(std::move(call));
}

}  // namespace corianderdock::net
