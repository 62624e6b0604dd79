/// Calls to the store over HTTP: member records and claims that depend on them.
#include <json/json.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <memory>

#include "corianderdock/detail/base64.h"
#include "corianderdock/net/http_server.h"
#include "platform/documents.h"
#include "platform/store_client.h"

namespace corianderdock::test {

namespace {

namespace asio = boost::asio;
using platform::StoreClient;
using session::StoreCall;
using session::StoreRequest;
using session::StoreResult;
using session::StoreStatus;

/// Below the ephemeral port range of the system.
constexpr int kFirstPort = 23000;
constexpr int kPortRange = 900;

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

/// A store that keeps items and runs transactions.
class FakeStore {
 public:
  explicit FakeStore(asio::io_context& io) {
    for (int n = 0; !http_; ++n) {
      address_ = "127.0.0.1:" + std::to_string(kFirstPort + n % kPortRange);
      try {
        http_ = std::make_unique<net::HttpServer>(
            std::vector<asio::io_context*>{&io}, net::ParseEndpoint(address_),
            net::HttpLimits{},
            [this](const net::HttpRequest& request,
                   const net::HttpRespond& respond,
                   std::function<void()>&) { Answer(request, respond); });
      } catch (const boost::system::system_error&) {
        REQUIRE(n < kPortRange);  // the port is in use
      }
    }
  }

  [[nodiscard]] const std::string& address() const { return address_; }

  void Put(const std::string& key, const std::string& value) {
    Json::Value& item = items_[key];
    item["key"] = key;
    item["value"] = detail::EncodeBase64(value);
    item["rev"] = ++revision_;
  }

 private:
  void Answer(const net::HttpRequest& request,
              const net::HttpRespond& respond) {
    Json::Value body;
    net::HttpResponse response;
    body["items"] = Json::Value(Json::arrayValue);
    if (request.target.starts_with("/kv-range")) {
      for (const auto& [key, item] : items_) body["items"].append(item);
    } else {
      response.status = Run(*platform::ParseJson(request.body), body);
    }
    body["current_rev"] = revision_;
    response.make_body = [text = ToText(body)] { return text; };
    respond(response);
  }

  /// Runs a transaction; returns the status code.
  int Run(const Json::Value& transaction, Json::Value& body) {
    bool met = true;
    for (const Json::Value& it : transaction["expect"]) {
      const auto item = items_.find(it["key"].asString());
      const Json::Value revision =
          item == items_.end() ? Json::Value(0) : item->second["rev"];
      met = met && revision.asUInt64() == it["rev"].asUInt64();
      if (item != items_.end()) body["items"].append(item->second);
    }
    if (!met) return 412;
    for (const Json::Value& it : transaction["puts"]) {
      Put(it["key"].asString(), *detail::DecodeBase64(it["value"].asString()));
    }
    body["rev"] = revision_;
    return 200;
  }

  std::string address_;
  std::unique_ptr<net::HttpServer> http_;
  std::map<std::string, Json::Value> items_;
  Json::UInt64 revision_ = 0;
};

/// Answers every request with the same text, each on its own connection.
class FixedServer {
 public:
  FixedServer(asio::io_context& io, std::string response)
      : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}),
        response_(std::move(response)) {
    Accept();
  }

  [[nodiscard]] std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  [[nodiscard]] int requests() const { return requests_; }

 private:
  using Socket = asio::ip::tcp::socket;

  void Accept() {
    acceptor_.async_accept([this](boost::system::error_code ec, Socket socket) {
      if (ec) return;
      auto peer = std::make_shared<Socket>(std::move(socket));
      auto buf = std::make_shared<std::string>();
      asio::async_read_until(
          *peer, asio::dynamic_buffer(*buf), "\r\n\r\n",
          [this, peer, buf](boost::system::error_code failed, std::size_t) {
            if (failed) return;
            ++requests_;
            asio::async_write(
                *peer, asio::buffer(response_),
                [peer](boost::system::error_code, std::size_t) {});
          });
      Accept();
    });
  }

  asio::ip::tcp::acceptor acceptor_;
  std::string response_;
  int requests_ = 0;
};

std::string Response(const std::string& status, const std::string& headers,
                     const std::string& body) {
  return "HTTP/1.1 " + status + "\r\nConnection: close\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Fixture {
  Fixture() : store(io), client(io, settings, [](const std::string&) {}) {
    settings.instance = "self";
    settings.store_address = store.address();
  }

  StoreResult Run(StoreCall call) {
    call.key = "books";
    call.timeout = std::chrono::seconds(2);
    std::optional<StoreResult> result;
    client.Run(call, [&](StoreResult it) { result = std::move(it); });
    while (!result) io.run_one();
    return *result;
  }

  StoreResult TakeClaim(std::uint64_t revision, std::uint64_t members) {
    StoreCall call;
    call.request = StoreRequest::kTakeClaim;
    call.revision = revision;
    call.member_revision = members;
    return Run(std::move(call));
  }

  asio::io_context io;
  platform::Settings settings;
  FakeStore store;
  StoreClient client;
};

}  // namespace

TEST_CASE("a member record that was written is read with its revision") {
  Fixture it;
  StoreCall write;
  write.request = StoreRequest::kWriteMembers;
  write.value = "text";
  const StoreResult written = it.Run(write);
  CHECK(written.status == StoreStatus::kOk);
  for (const auto request :
       {StoreRequest::kReadMembers, StoreRequest::kReadMembersStale}) {
    StoreCall read;
    read.request = request;
    const StoreResult result = it.Run(read);
    REQUIRE(result.members.contains("books"));
    CHECK(result.members.at("books").value == "text");
    CHECK(result.members.at("books").revision == written.revision);
  }
  // The revision that the write expects has passed.
  const StoreResult refused = it.Run(write);
  CHECK(refused.status == StoreStatus::kConflict);
  CHECK(refused.members.at("books").revision == written.revision);
}

TEST_CASE("a claim is refused with the member record that it doesn't know") {
  Fixture it;
  it.store.Put("members/books", "text");
  const StoreResult refused = it.TakeClaim(0, 0);
  CHECK(refused.status == StoreStatus::kConflict);
  REQUIRE(refused.members.contains("books"));
  CHECK(refused.members.at("books").value == "text");
  const auto revision = refused.members.at("books").revision;
  CHECK(it.TakeClaim(0, revision).status == StoreStatus::kOk);
  // Another instance has claimed: the record is as expected.
  const StoreResult claimed = it.TakeClaim(0, revision);
  CHECK(claimed.status == StoreStatus::kConflict);
  CHECK(claimed.members.empty());
}

TEST_CASE("an order is recorded while the claim has its revision") {
  Fixture it;
  const std::uint64_t claim = it.TakeClaim(0, 0).revision;
  StoreCall call;
  call.request = StoreRequest::kRecordOrder;
  call.value = "text";
  call.claim_revision = claim + 1;
  CHECK(it.Run(call).status == StoreStatus::kConflict);
  call.claim_revision = claim;
  CHECK(it.Run(call).status == StoreStatus::kOk);
}

TEST_CASE("every response tells the store's era if it is readable") {
  const auto era = [](const std::string& status, const std::string& headers) {
    Fixture it;
    FixedServer server(it.io, Response(status, headers, "{}"));
    it.settings.store_address = server.address();
    StoreCall call;
    call.request = StoreRequest::kWatchConfig;
    return it.Run(std::move(call)).era;
  };
  for (const char* status :
       {"200 OK", "404 Not Found", "410 Gone", "412 Precondition Failed",
        "429 Too Many Requests", "503 Service Unavailable"}) {
    CHECK(era(status, "Store-Era: 7\r\n") == session::StoreEra(7));
  }
  CHECK(era("200 OK", "store-era:  0 \r\n") == session::StoreEra(0));
  for (const char* headers :
       {"", "Store-Era: \r\n", "Store-Era: x\r\n", "Store-Era: 7x\r\n",
        "Store-Era: -1\r\n", "Store-Era: 1.5\r\n",
        "Store-Era: 18446744073709551616\r\n",
        "Store-Era: 7\r\nStore-Era: 8\r\n"}) {
    CHECK(era("200 OK", headers) == std::nullopt);
  }
}

// Guards against calls that were repeated without a pause.
TEST_CASE("a list whose pages don't advance ends") {
  Fixture it;
  FixedServer server(it.io, Response("200 OK", "Store-Era: 3\r\n",
                                     R"({"items":[{"key":"members/books"}],)"
                                     R"("has_more":true})"));
  it.settings.store_address = server.address();
  StoreCall call;
  call.request = StoreRequest::kReadMembers;
  const StoreResult result = it.Run(std::move(call));
  CHECK(result.members.contains("books"));
  CHECK(server.requests() == 2);
}

TEST_CASE("a claim that expects a record is told that there is none") {
  Fixture it;
  const StoreResult refused = it.TakeClaim(0, 4);
  CHECK(refused.status == StoreStatus::kConflict);
  REQUIRE(refused.members.contains("books"));
  CHECK(refused.members.at("books").revision == 0);
}

}  // namespace corianderdock::test
