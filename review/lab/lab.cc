#include "lab.h"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/beast.hpp>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <random>
#include <sstream>

namespace lab {

namespace http = boost::beast::http;
using asio::use_awaitable;

namespace {

constexpr Ms kBeat{1200};
constexpr int kBeatsUntilGone = 3;
constexpr Ms kTick{1};
// There and back between two zones, at 1.4 ms one way.
constexpr std::chrono::microseconds kCrossZone{2'800};
constexpr char kProgram[] = "target/corianderdock-proxy";

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder writer;
  writer["indentation"] = "";
  return Json::writeString(writer, value);
}

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& bytes) {
  std::string out;
  std::uint32_t bits = 0;
  int n = 0;
  for (const unsigned char it : bytes) {
    bits = bits << 8 | it;
    for (n += 8; n >= 6; n -= 6) out += kBase64[bits >> (n - 6) & 63];
  }
  if (n > 0) out += kBase64[bits << (6 - n) & 63];
  while (out.size() % 4 != 0) out += '=';
  return out;
}

std::string FromBase64(const std::string& text) {
  const std::string alphabet(kBase64);
  std::string out;
  std::uint32_t bits = 0;
  int n = 0;
  for (const char it : text) {
    const auto digit = alphabet.find(it);
    if (digit == std::string::npos) break;
    bits = bits << 6 | static_cast<std::uint32_t>(digit);
    n += 6;
    if (n >= 8) {
      n -= 8;
      out += static_cast<char>(bits >> n & 255);
    }
  }
  return out;
}

std::vector<std::string> Split(const std::string& text, char by,
                               std::size_t most) {
  std::vector<std::string> parts;
  std::size_t from = 0;
  while (parts.size() + 1 < most) {
    const auto at = text.find(by, from);
    if (at == std::string::npos) break;
    parts.push_back(text.substr(from, at - from));
    from = at + 1;
  }
  parts.push_back(text.substr(from));
  return parts;
}

std::string ToText(Position position) {
  return std::to_string(position.term) + "." + std::to_string(position.number);
}

Position ParsePosition(const std::string& text) {
  const auto parts = Split(text, '.', 2);
  return {std::stoull(parts.at(0)), std::stoull(parts.at(1))};
}

std::map<std::string, std::string> QueryOf(const std::string& target) {
  std::map<std::string, std::string> query;
  const auto mark = target.find('?');
  if (mark == std::string::npos) return query;
  for (const auto& it : Split(target.substr(mark + 1), '&', 20)) {
    const auto pair = Split(it, '=', 2);
    query[pair[0]] = pair.size() > 1 ? pair[1] : "";
  }
  return query;
}

std::shared_ptr<tcp::acceptor> ListenOn(asio::io_context& io, int port) {
  auto acceptor = std::make_shared<tcp::acceptor>(io);
  acceptor->open(tcp::v4());
  acceptor->set_option(tcp::acceptor::reuse_address(true));
  acceptor->bind(
      {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)});
  acceptor->listen();
  return acceptor;
}

tcp::endpoint Endpoint(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)};
}

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

std::uint64_t UnixMs() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Ms>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

}  // namespace

void Record::Line(const std::string& text) {
  out_ << now().count() << " ms  " << text << std::endl;
}

Ms Record::now() const {
  return std::chrono::duration_cast<Ms>(Clock::now() - start_);
}

int FreePort() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> given;
  asio::io_context io;
  for (int n = 0; n < 1000; ++n) {
    const int port = 20000 + static_cast<int>(random() % 10000);
    tcp::acceptor acceptor(io);
    boost::system::error_code ec;
    acceptor.open(tcp::v4(), ec);
    acceptor.bind(Endpoint(port), ec);
    if (!ec && given.insert(port).second) return port;
  }
  throw CannotRun("no free port");
}

Task Sleep(Ms duration) {
  asio::steady_timer timer(co_await asio::this_coro::executor, duration);
  co_await timer.async_wait(use_awaitable);
}

// ---------------------------------------------------------------- store

int Store::Listen(const std::string& instance) {
  const int port = FreePort();
  asio::co_spawn(io_, Accept(ListenOn(io_, port), instance), asio::detached);
  return port;
}

Task Store::Accept(std::shared_ptr<tcp::acceptor> acceptor,
                   std::string instance) {
  for (;;) {
    tcp::socket socket = co_await acceptor->async_accept(use_awaitable);
    asio::co_spawn(io_, Serve(std::move(socket), instance), asio::detached);
  }
}

Task Store::Serve(tcp::socket socket, std::string instance) {
  boost::beast::flat_buffer buf;
  try {
    for (;;) {
      http::request<http::string_body> request;
      co_await http::async_read(socket, buf, request, use_awaitable);
      const std::string target(request.target());
      Response out;
      if (modes_[instance] == Mode::kSilent) {
        while (modes_[instance] == Mode::kSilent) co_await Sleep(kTick * 20);
        co_return;
      }
      if (modes_[instance] == Mode::kBusy) {
        out.status = 503;
      } else {
        Json::Value body;
        Json::CharReaderBuilder builder;
        std::istringstream in(request.body());
        std::string error;
        if (!request.body().empty()) {
          Json::parseFromStream(builder, in, &body, &error);
        }
        out = co_await Answer(std::string(request.method_string()), target,
                              std::move(body));
      }
      while (modes_[instance] == Mode::kSilent) co_await Sleep(kTick * 20);
      http::response<http::string_body> response;
      response.result(static_cast<unsigned>(out.status));
      response.version(11);
      response.keep_alive(request.keep_alive());
      response.set(http::field::content_type, "application/json");
      response.body() = ToText(out.body);
      response.prepare_payload();
      co_await http::async_write(socket, response, use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    co_return;  // the connection ended
  }
}

asio::awaitable<Store::Response> Store::Answer(std::string method,
                                               std::string target,
                                               Json::Value body) {
  EndLeases();
  auto query = QueryOf(target);
  const std::string path = target.substr(0, target.find('?'));
  Response out;
  if (path == "/kv-watch") co_return co_await Watch(std::move(query));
  if (path == "/kv-range") co_return Range(query);
  if (path == "/kv-txn") co_return Txn(body);
  if (path == "/kv-key") {
    const Version* version = Find(query["key"], Clock::now());
    if (version == nullptr) {
      out.status = 404;
    } else {
      out.body = ItemOf(query["key"], *version);
    }
    out.body["current_rev"] = static_cast<Json::UInt64>(rev_);
    co_return out;
  }
  if (path == "/kv-lease") {
    const Ms ttl(body["ttl_ms"].asInt64());
    const std::uint64_t lease = next_lease_++;
    leases_[lease] = {Clock::now() + ttl, ttl};
    out.body["lease"] = static_cast<Json::UInt64>(lease);
    out.body["ttl_ms"] = body["ttl_ms"];
    co_return out;
  }
  const bool keep = path.rfind("/kv-keep/", 0) == 0;
  const bool end = path.rfind("/kv-lease-end/", 0) == 0;
  if (keep || end) {
    const auto it = leases_.find(std::stoull(path.substr(path.rfind('/') + 1)));
    if (it == leases_.end()) {
      out.status = 404;
    } else if (keep) {
      it->second.ends = Clock::now() + it->second.ttl;
      out.body["lease"] = static_cast<Json::UInt64>(it->first);
      out.body["ttl_ms"] = static_cast<Json::Int64>(it->second.ttl.count());
    } else {
      it->second.ends = Clock::now();
      EndLeases();
    }
    co_return out;
  }
  record_.Line("store: unknown call " + method + " " + target);
  out.status = 404;
  co_return out;
}

asio::awaitable<Store::Response> Store::Watch(
    std::map<std::string, std::string> query) {
  const std::string prefix = query["prefix"];
  const std::uint64_t after = std::stoull(query["after"]);
  const auto until = Clock::now() + Ms(std::stoll(query["wait_ms"]));
  Response out;
  for (;;) {
    EndLeases();
    std::map<std::uint64_t, Json::Value> events;
    for (const auto& [key, versions] : keys_) {
      if (key.rfind(prefix, 0) != 0) continue;
      for (const auto& it : versions) {
        if (it.rev > after) events[it.rev] = ItemOf(key, it);
      }
    }
    if (!events.empty() || Clock::now() >= until) {
      out.body["events"] = Json::Value(Json::arrayValue);
      for (const auto& [rev, event] : events) out.body["events"].append(event);
      out.body["current_rev"] = static_cast<Json::UInt64>(rev_);
      co_return out;
    }
    co_await Sleep(kTick * 5);
  }
}

Store::Response Store::Range(const std::map<std::string, std::string>& query) {
  const std::string prefix = query.at("prefix");
  const bool stale = query.count("allow_stale") != 0;
  const auto at = Clock::now() - (stale ? list_age_ : Ms(0));
  const std::string after =
      query.count("after") != 0 ? query.at("after") : std::string();
  Response out;
  out.body["items"] = Json::Value(Json::arrayValue);
  for (const auto& [key, versions] : keys_) {
    if (key.rfind(prefix, 0) != 0 || key <= after) continue;
    const Version* version = Find(key, at);
    if (version != nullptr) out.body["items"].append(ItemOf(key, *version));
  }
  out.body["has_more"] = false;
  out.body["current_rev"] = static_cast<Json::UInt64>(rev_);
  return out;
}

Store::Response Store::Txn(const Json::Value& body) {
  Response out;
  bool met = true;
  for (const auto& it : body["expect"]) {
    const Version* version = Find(it["key"].asString(), Clock::now());
    met =
        met && (version == nullptr ? 0 : version->rev) == it["rev"].asUInt64();
  }
  if (!met) {
    out.status = 412;
    out.body["items"] = Json::Value(Json::arrayValue);
    for (const auto& it : body["expect"]) {
      const Version* version = Find(it["key"].asString(), Clock::now());
      if (version == nullptr) continue;
      out.body["items"].append(ItemOf(it["key"].asString(), *version));
    }
    return out;
  }
  for (const auto& it : body["puts"]) {
    const auto lease = it["lease"].asUInt64();
    if (lease != 0 && leases_.count(lease) == 0) {
      out.status = 404;
      return out;
    }
  }
  for (const auto& it : body["puts"]) {
    Put(it["key"].asString(), FromBase64(it["value"].asString()),
        it["lease"].asUInt64());
  }
  for (const auto& it : body["deletes"]) Delete(it.asString());
  out.body["rev"] = static_cast<Json::UInt64>(rev_);
  return out;
}

void Store::Put(const std::string& key, const std::string& value,
                std::uint64_t lease) {
  const Version* before = Find(key, Clock::now());
  ++rev_;
  const std::uint64_t created = before == nullptr ? rev_ : before->create_rev;
  keys_[key].push_back({Clock::now(), value, rev_, created, lease});
}

void Store::Delete(const std::string& key) {
  if (Find(key, Clock::now()) == nullptr) return;
  ++rev_;
  keys_[key].push_back({Clock::now(), std::nullopt, rev_, 0, 0});
}

void Store::EndLeases() {
  for (auto it = leases_.begin(); it != leases_.end();) {
    if (it->second.ends > Clock::now()) {
      ++it;
      continue;
    }
    const std::uint64_t lease = it->first;
    it = leases_.erase(it);
    for (auto& [key, versions] : keys_) {
      const bool held = versions.back().value && versions.back().lease == lease;
      if (held) Delete(key);
    }
  }
}

const Store::Version* Store::Find(const std::string& key,
                                  Clock::time_point at) const {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return nullptr;
  const Version* found = nullptr;
  for (const auto& version : it->second) {
    if (version.at <= at) found = &version;
  }
  return found != nullptr && found->value ? found : nullptr;
}

Json::Value Store::ItemOf(const std::string& key,
                          const Version& version) const {
  Json::Value item;
  item["key"] = key;
  item["rev"] = static_cast<Json::UInt64>(version.rev);
  if (!version.value) {
    item["deleted"] = true;
    return item;
  }
  item["value"] = ToBase64(*version.value);
  item["create_rev"] = static_cast<Json::UInt64>(version.create_rev);
  item["lease"] = static_cast<Json::UInt64>(version.lease);
  return item;
}

// -------------------------------------------------------------- servers

Server::Server(asio::io_context& io, Record& record, Store& store, Group& group,
               std::string id, std::string zone, bool primary,
               bool cut_from_store)
    : io_(io),
      record_(record),
      store_(store),
      group_(group),
      id_(std::move(id)),
      zone_(std::move(zone)),
      port_(FreePort()),
      primary_(primary),
      cut_from_store_(cut_from_store),
      born_(UnixMs()) {
  Listen();
  asio::co_spawn(io_, Beat(), asio::detached);
}

Position Server::end() const {
  return log_.empty() ? Position{1, 0} : log_.back().position;
}

bool Server::Holds(const std::string& statement) const {
  return std::any_of(log_.begin(), log_.end(), [&](const Entry& entry) {
    return std::any_of(
        entry.writes.begin(), entry.writes.end(),
        [&](const Write& it) { return it.statement == statement; });
  });
}

void Server::Listen() {
  acceptor_ = ListenOn(io_, port_);
  asio::co_spawn(io_, Accept(acceptor_), asio::detached);
}

void Server::Crash() {
  record_.Line("server " + id_ + " crashes, log ends at " + ToText(end()));
  alive_ = false;
  acceptor_->close();
  for (const auto& it : connections_) {
    boost::system::error_code ignored;
    it->socket.close(ignored);
  }
  connections_.clear();
}

void Server::Restart() {
  alive_ = true;
  primary_ = primary_ && group_.newest_term() == term_;
  held_term_ = 0;
  born_ = UnixMs();
  seq_ = 0;
  record_.Line("server " + id_ + " starts again as " +
               (primary_ ? "primary" : "replica"));
  Listen();
  Register();
}

void Server::SetDraining(bool draining) {
  draining_ = draining;
  Register();
}

void Server::CutFromInstance(const std::string& instance, bool cut) {
  if (cut) {
    cut_instances_.insert(instance);
  } else {
    cut_instances_.erase(instance);
  }
}

void Server::Register() {
  if (!alive_ || cut_from_store_) return;
  Json::Value entry;
  entry["backend"] = group_.service();
  entry["addr"] = Loopback(port_);
  entry["zone"] = zone_;
  entry["version"] = "v1";
  entry["slots"] = 4;
  entry["state"] = draining_ ? "draining" : "ready";
  entry["cold_left_ms"] = 0;
  entry["seq"] = static_cast<Json::UInt64>(++seq_);
  entry["born"] = static_cast<Json::UInt64>(born_);
  entry["db_role"] = primary_ ? "primary" : "replica";
  store_.Put("servers/" + id_, ToText(entry));
  last_beat_ = Clock::now();
}

Task Server::Beat() {
  for (;;) {
    const auto silent = Clock::now() - last_beat_;
    if (alive_ && !cut_from_store_) {
      if (silent >= kBeat) Register();
    } else if (silent >= kBeat * kBeatsUntilGone &&
               store_.Contains("servers/" + id_)) {
      record_.Line("store: entry of " + id_ + " expires");
      store_.Delete("servers/" + id_);
    }
    co_await Sleep(kTick * 10);
  }
}

Task Server::Accept(std::shared_ptr<tcp::acceptor> acceptor) {
  try {
    for (;;) {
      tcp::socket socket = co_await acceptor->async_accept(use_awaitable);
      socket.set_option(tcp::no_delay(true));
      auto connection = std::make_shared<Connection>(std::move(socket));
      connections_.insert(connection);
      asio::co_spawn(io_, Serve(connection), asio::detached);
    }
  } catch (const boost::system::system_error&) {
    co_return;  // the server crashed
  }
}

Task Server::Serve(std::shared_ptr<Connection> connection) {
  Connection& it = *connection;
  try {
    for (;;) {
      const std::size_t n = co_await asio::async_read_until(
          it.socket, asio::dynamic_buffer(it.buf), "\r\n", use_awaitable);
      const std::string line = it.buf.substr(0, n - 2);
      it.buf.erase(0, n);
      const auto fields = Split(line, ' ', 3);
      if (fields[0] == "START") {
        const auto rest = Split(fields.at(2), ' ', 2);
        it.instance = rest[0];
        if (!co_await AwaitLink(it)) break;
        const bool wrong = fields.at(1) != group_.service() ||
                           (rest.size() > 1 && rest[1] != id_);
        const std::string out =
            wrong ? "ERR MISROUTED " + id_ + "\r\n"
                  : "READY I " + ToText(AppliedPosition()) + "\r\n";
        co_await asio::async_write(it.socket, asio::buffer(out), use_awaitable);
        if (wrong) break;
        continue;
      }
      if (fields[0] != "QUERY" || fields.size() < 3) break;
      if (!co_await AwaitLink(it)) break;
      if (!group_.IsNear(it.instance, zone_)) {
        asio::steady_timer timer(io_, kCrossZone);
        co_await timer.async_wait(use_awaitable);
      }
      const bool from_client = fields[1] != "-";
      const Answer answer = co_await Run(it, fields[1], fields[2]);
      if (!alive_) co_return;
      if (!answer.error.empty() && it.in_transaction) it.failed = true;
      std::string out;
      for (const auto& row : answer.rows) out += "ROW " + row + "\r\n";
      out += answer.error.empty() ? "DONE " + answer.receipt + "\r\n"
                                  : "ERR " + answer.error + "\r\n";
      const char* state = !it.in_transaction ? "I" : it.failed ? "E" : "T";
      out += std::string("READY ") + state + " " + ToText(AppliedPosition()) +
             "\r\n";
      if (from_client) {
        record_.Line(
            id_ + " ran for " + it.instance + ": " + line + " -> " +
            (answer.rows.empty() ? "" : "ROW " + answer.rows[0] + " ") +
            (answer.error.empty() ? "DONE " + answer.receipt
                                  : "ERR " + answer.error) +
            " at " + ToText(AppliedPosition()));
      }
      while (silent_ && from_client) co_await Sleep(kTick * 5);
      if (!co_await AwaitLink(it)) break;
      co_await asio::async_write(it.socket, asio::buffer(out), use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    // The connection ended; an open transaction is rolled back.
  }
  boost::system::error_code ignored;
  it.socket.close(ignored);
  connections_.erase(connection);
}

asio::awaitable<bool> Server::AwaitLink(Connection& connection) {
  if (cut_instances_.count(connection.instance) == 0) co_return alive_;
  while (cut_instances_.count(connection.instance) != 0) {
    co_await Sleep(kTick * 5);
  }
  if (!alive_) co_return false;
  char byte = 0;
  const auto n = ::recv(connection.socket.native_handle(), &byte, 1,
                        MSG_PEEK | MSG_DONTWAIT);
  co_return n > 0 || (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK));
}

std::size_t Server::AppliedCount() const {
  if (primary_) return log_.size();
  const auto now = Clock::now();
  std::size_t n = 0;
  while (n < log_.size() && received_at_[n] + apply_delay_ <= now) ++n;
  return n;
}

Position Server::AppliedPosition() const {
  const std::size_t n = AppliedCount();
  return n == 0 ? Position{1, 0} : log_[n - 1].position;
}

std::string Server::NextReceipt() {
  return id_ + "-" + std::to_string(born_ % 100000) + "-" +
         std::to_string(++receipts_);
}

std::string Server::StatusRow() const {
  return std::string(primary_ ? "primary" : "replica") + " " +
         std::to_string(term_) + " " + ToText(end()) + " " +
         std::to_string(held_term_) + " 0 0 " +
         std::to_string(connections_.size());
}

std::string Server::ReadItem(const Connection& connection,
                             const std::string& item) const {
  std::string data = "-";
  const std::size_t applied = AppliedCount();
  for (std::size_t n = 0; n < applied; ++n) {
    for (const auto& it : log_[n].writes) {
      if (it.item == item) data = it.data;
    }
  }
  for (const auto& it : connection.writes) {
    if (it.item == item) data = it.data;
  }
  return data;
}

asio::awaitable<Server::Answer> Server::Commit(std::vector<Write> writes,
                                               std::string id) {
  Answer answer;
  const Position position{term_, end().number + 1};
  log_.push_back({position, std::move(writes)});
  received_at_.push_back(Clock::now());
  record_.Line(id_ + " commits " + id + " at " + ToText(position));
  for (;;) {
    for (const auto& it : group_.servers()) {
      if (it.get() == this || !it->alive()) continue;
      const auto& log = it->log();
      const bool received = std::any_of(
          log.rbegin(), log.rend(),
          [&](const Entry& entry) { return entry.position == position; });
      if (!received) continue;
      answer.receipt = NextReceipt();
      co_return answer;
    }
    if (!alive_ || !primary_) break;
    co_await Sleep(kTick);
  }
  answer.error = "FAILED lost the lead";
  co_return answer;
}

asio::awaitable<Server::Answer> Server::RunWrite(Connection& connection,
                                                 std::string id,
                                                 std::string item,
                                                 std::string data) {
  Answer answer;
  if (!primary_ || connection.read_only) {
    answer.error = "READONLY " + id_;
    co_return answer;
  }
  Write write{item, data, id};
  if (connection.in_transaction) {
    connection.writes.push_back(std::move(write));
    answer.receipt = NextReceipt();
    co_return answer;
  }
  std::vector<Write> writes;
  writes.push_back(std::move(write));
  co_return co_await Commit(std::move(writes), id);
}

asio::awaitable<Server::Answer> Server::Run(Connection& connection,
                                            std::string id, std::string text) {
  Answer answer;
  auto words = Split(text, ' ', 4);
  if (words[0] == "AFTER") {
    if (AppliedPosition() < ParsePosition(words.at(1))) {
      answer.error = "BEHIND " + ToText(AppliedPosition());
      co_return answer;
    }
    text = text.substr(words[0].size() + words[1].size() + 2);
    words = Split(text, ' ', 4);
  }
  const std::string& word = words[0];
  const auto end_transaction = [&] {
    connection.in_transaction = false;
    connection.failed = false;
    connection.read_only = false;
    connection.writes.clear();
  };
  if (word == "ROLLBACK") {
    end_transaction();
    co_return answer;
  }
  if (connection.failed && word != "COMMIT") {
    answer.error = "BAD the transaction failed";
    co_return answer;
  }
  const bool lost_lead = connection.in_transaction && !connection.read_only &&
                         (!primary_ || term_ != connection.began_in_term);
  if (word == "COMMIT") {
    auto writes = std::move(connection.writes);
    const bool in_transaction = connection.in_transaction;
    const bool failed = connection.failed;
    end_transaction();
    if (!in_transaction) {
      answer.error = "BAD not in a transaction";
    } else if (failed) {
      answer.error = "ABORTED the transaction failed";
    } else if (!writes.empty() && lost_lead) {
      answer.error = "READONLY " + id_;
    } else if (writes.empty()) {
      answer.receipt = NextReceipt();
    } else {
      co_await Sleep(run_time_);
      co_return co_await Commit(std::move(writes), id);
    }
    co_return answer;
  }
  if (lost_lead) {
    answer.error = "READONLY " + id_;
    co_return answer;
  }
  if (word == "BEGIN") {
    const bool read_only = words.size() > 1;
    if (!read_only && !primary_) {
      answer.error = "READONLY " + id_;
      co_return answer;
    }
    connection.in_transaction = true;
    connection.read_only = read_only;
    connection.began_in_term = term_;
    co_return answer;
  }
  if (word == "SET") {
    connection.values[words.at(1)] = words.at(2);
  } else if (word == "PREPARE") {
    connection.prepared[words.at(1)] = {words.at(2) == "WRITE", words.at(3)};
  } else if (word == "FORGET") {
    if (connection.prepared.erase(words.at(1)) == 0) answer.error = "NOSTMT -";
  } else if (word == "RESET") {
    connection.values.clear();
    connection.prepared.clear();
  } else if (word == "STATUS") {
    answer.rows.push_back(StatusRow());
  } else if (word == "HOLD") {
    const std::uint64_t term = std::stoull(words.at(1));
    if (!primary_ && term > term_) held_term_ = term;
    record_.Line(id_ + " gets " + text + " from " + connection.instance +
                 ", log ends at " + ToText(end()));
    answer.rows.push_back(StatusRow());
  } else if (word == "RESUME") {
    held_term_ = 0;
    record_.Line(id_ + " gets RESUME from " + connection.instance);
    answer.rows.push_back(StatusRow());
  } else if (word == "DEMOTE") {
    const std::uint64_t term = std::stoull(words.at(1));
    if (primary_ && term > term_) {
      primary_ = false;
      record_.Line(id_ + " is demoted by " + connection.instance);
      Register();
    }
    answer.rows.push_back(StatusRow());
  } else if (word == "READ") {
    co_await Sleep(run_time_);
    answer.rows.push_back(ReadItem(connection, words.at(1)));
    answer.receipt = NextReceipt();
  } else if (word == "WRITE") {
    co_await Sleep(run_time_);
    co_return co_await RunWrite(connection, id, words.at(1), words.at(2));
  } else if (word == "EXEC") {
    const auto it = connection.prepared.find(words.at(1));
    if (it == connection.prepared.end()) {
      answer.error = "NOSTMT " + words.at(1);
      co_return answer;
    }
    co_await Sleep(run_time_);
    if (it->second.first) {
      co_return co_await RunWrite(connection, id, words.at(2), words.at(3));
    }
    answer.rows.push_back(ReadItem(connection, words.at(2)));
    answer.receipt = NextReceipt();
  } else {
    answer.error = "BAD unknown";
  }
  co_return answer;
}

Server& Group::Add(const std::string& id, const std::string& zone) {
  servers_.push_back(std::make_unique<Server>(io_, record_, store_, *this, id,
                                              zone, servers_.empty(),
                                              cut_zones_[zone]));
  Server& added = *servers_.back();
  added.term_ = newest_term_;
  Replicate();
  return added;
}

Server* Group::Find(const std::string& id) {
  for (const auto& it : servers_) {
    if (it->id() == id) return it.get();
  }
  return nullptr;
}

Server* Group::Primary() {
  Server* best = nullptr;
  for (const auto& it : servers_) {
    const bool leads = it->alive() && it->primary();
    if (leads && (best == nullptr || it->term() > best->term())) {
      best = it.get();
    }
  }
  return best;
}

void Group::Promote(const std::string& id, bool stops_old) {
  Server* target = Find(id);
  if (target == nullptr || !target->alive_) return;
  ++newest_term_;
  record_.Line("platform: " + id + " leads term " +
               std::to_string(newest_term_) + " of " + service_ +
               ", log ends at " + ToText(target->end()));
  for (const auto& it : servers_) {
    const bool old = it.get() != target && it->primary_;
    if (old && (stops_old || !it->alive_)) it->primary_ = false;
  }
  target->primary_ = true;
  target->term_ = newest_term_;
  target->held_term_ = 0;
  for (const auto& it : servers_) it->Register();
}

Task Group::AwaitPrimary() {
  constexpr std::chrono::seconds kLimit(40);
  const auto until = Clock::now() + kLimit;
  while (Primary() == nullptr) {
    if (Clock::now() > until) throw CannotRun("no primary");
    co_await Sleep(kTick * 50);
  }
}

bool Group::Connected(const Server& a, const Server& b) {
  return a.zone_ == b.zone_ || (!cut_zones_[a.zone_] && !cut_zones_[b.zone_]);
}

void Group::Replicate() {
  for (const auto& it : servers_) {
    if (!it->alive_ || it->primary_ || it->deaf_) continue;
    const Server* from = nullptr;
    for (const auto& other : servers_) {
      const bool leads = other->alive_ && other->primary_ &&
                         Connected(*it, *other) && other->term_ >= it->term_;
      if (leads && (from == nullptr || other->term_ > from->term_)) {
        from = other.get();
      }
    }
    const bool receives = from != nullptr && it->held_term_ <= from->term_;
    if (!receives) continue;
    if (it->term_ < from->term_) it->held_term_ = 0;  // after a promotion
    it->term_ = from->term_;
    if (it->end() == from->end()) continue;
    std::size_t same = 0;
    while (same < it->log_.size() && same < from->log_.size() &&
           it->log_[same].position == from->log_[same].position) {
      ++same;
    }
    if (same < it->log_.size()) {
      record_.Line(it->id_ + " follows " + from->id_ + " and rolls back from " +
                   ToText(it->end()));
    }
    it->log_.resize(same);
    it->received_at_.resize(same);
    for (std::size_t n = same; n < from->log_.size(); ++n) {
      it->log_.push_back(from->log_[n]);
      it->received_at_.push_back(Clock::now());
    }
  }
}

void Group::EndStaleLead() {
  constexpr std::chrono::seconds kLeadAfterContact(1);
  for (const auto& it : servers_) {
    const bool reaches_newer =
        it->alive_ && it->primary_ &&
        std::any_of(servers_.begin(), servers_.end(), [&](const auto& other) {
          return other->alive_ && other->primary_ && other->term_ > it->term_ &&
                 Connected(*it, *other);
        });
    if (!reaches_newer) {
      reaches_newer_since_.erase(it->id_);
      continue;
    }
    const auto since =
        reaches_newer_since_.try_emplace(it->id_, Clock::now()).first->second;
    if (Clock::now() - since < kLeadAfterContact) continue;
    it->primary_ = false;
    record_.Line(it->id_ + " has reached a newer primary and stops leading");
    it->Register();
  }
}

Task Group::Pump(Ms delay) {
  for (;;) {
    EndStaleLead();
    Replicate();
    co_await Sleep(delay);
  }
}

// ---------------------------------------------------------------- cloud

int Cloud::Listen(const std::string& instance) {
  const int port = FreePort();
  asio::co_spawn(io_, Accept(ListenOn(io_, port), instance), asio::detached);
  return port;
}

Task Cloud::Accept(std::shared_ptr<tcp::acceptor> acceptor,
                   std::string instance) {
  for (;;) {
    tcp::socket socket = co_await acceptor->async_accept(use_awaitable);
    asio::co_spawn(io_, Serve(std::move(socket), instance), asio::detached);
  }
}

Task Cloud::CarryOut(Group& group, std::string server) {
  co_await Sleep(promote_time_);
  group.Promote(server, checks_fences_);
}

Task Cloud::Serve(tcp::socket socket, std::string instance) {
  boost::beast::flat_buffer buf;
  try {
    for (;;) {
      http::request<http::string_body> request;
      co_await http::async_read(socket, buf, request, use_awaitable);
      Json::Value body;
      std::istringstream in(request.body());
      in >> body;
      PromoteCall call;
      call.at = record_.now();
      call.holder = std::string(request["X-Corianderdock-Holder"]);
      call.fence = std::stoull(std::string(request["X-Corianderdock-Fence"]));
      call.service = body["backend"].asString();
      call.server = body["id"].asString();
      const std::string what = "promote " + call.service + " " + call.server +
                               " by " + call.holder + " with fence " +
                               std::to_string(call.fence);
      if (down_ || cut_instances_[instance]) {
        record_.Line("platform: out of reach, does not get: " + what);
        while (down_ || cut_instances_[instance]) co_await Sleep(kTick * 5);
        co_return;
      }
      Group& group = *groups_.at(call.service);
      Server* server = group.Find(call.server);
      std::uint64_t& highest = highest_fence_[call.service];
      const bool low = checks_fences_ && call.fence < highest;
      const bool runs = server != nullptr && server->alive();
      call.status = low || !runs ? 409 : 200;
      if (!low) highest = std::max(highest, call.fence);
      record_.Line("platform: " + what + " -> " + std::to_string(call.status));
      calls_.push_back(call);
      if (call.status == 200 && server != group.Primary()) {
        asio::co_spawn(io_, CarryOut(group, call.server), asio::detached);
      }
      if (on_call) on_call(call);
      http::response<http::string_body> response;
      response.result(static_cast<unsigned>(call.status));
      response.version(11);
      response.keep_alive(request.keep_alive());
      response.body() = "{}";
      response.prepare_payload();
      co_await http::async_write(socket, response, use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    co_return;
  }
}

// ---------------------------------------------------------------- proxy

Proxy::Proxy(Record& record, const Deployment& deployment, std::string name,
             std::string zone, int store_port, int cloud_port)
    : record_(record),
      name_(std::move(name)),
      zone_(std::move(zone)),
      client_port_(FreePort()),
      ready_port_(FreePort()),
      relay_port_(FreePort()),
      share_port_(FreePort()) {
  const char* root = std::getenv("TMPDIR");
  std::string folder =
      std::string(root == nullptr ? "/tmp" : root) + "/review-XXXXXX";
  if (::mkdtemp(folder.data()) == nullptr)
    throw CannotRun("no temporary folder");
  folder_ = folder;
  Json::Value settings;
  settings["instance"] = name_;
  settings["zone"] = zone_;
  settings["client_address"] = Loopback(client_port_);
  settings["ready_address"] = Loopback(ready_port_);
  settings["relay_address"] = Loopback(relay_port_);
  settings["share_address"] = Loopback(share_port_);
  settings["store_address"] = Loopback(store_port);
  settings["cloud_address"] = Loopback(cloud_port);
  settings["grace_seconds"] = deployment.grace_s;
  settings["contact_milliseconds"] = deployment.contact_ms;
  settings["drain_milliseconds"] = deployment.drain_ms;
  settings["promotion_tokens_checked"] = deployment.fencing;
  std::ofstream(folder_ + "/settings.json") << ToText(settings);
}

Proxy::~Proxy() {
  Kill();
  const char* kept = std::getenv("KEEP_LOGS");
  if (kept != nullptr) {
    std::filesystem::copy_file(
        folder_ + "/log", std::string(kept) + "/" + name_ + ".log",
        std::filesystem::copy_options::overwrite_existing);
  }
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void Proxy::Start() {
  if (!std::filesystem::exists(kProgram)) {
    throw CannotRun(std::string(kProgram) + " is not built");
  }
  const std::string setting =
      "CORIANDERDOCK_CONFIG=" + folder_ + "/settings.json";
  const std::string log = folder_ + "/log";
  const pid_t parent = ::getpid();
  process_ = ::fork();
  if (process_ < 0) throw CannotRun("fork failed");
  if (process_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) std::_Exit(2);
    if (std::freopen(log.c_str(), "a", stdout) == nullptr) std::_Exit(2);
    ::dup2(STDOUT_FILENO, STDERR_FILENO);
    for (int fd = 3; fd < 1024; ++fd) ::close(fd);
    std::string program = kProgram;
    std::string path = "PATH=/usr/bin:/bin";
    std::string variable = setting;
    char* arguments[] = {program.data(), nullptr};
    char* variables[] = {path.data(), variable.data(), nullptr};
    ::execve(kProgram, arguments, variables);
    std::_Exit(2);
  }
  ended_ = 0;
  record_.Line("instance " + name_ + " starts");
}

void Proxy::Signal(int signal) {
  if (process_ <= 0) return;
  record_.Line("instance " + name_ + " gets signal " + std::to_string(signal));
  ::kill(process_, signal);
}

void Proxy::Kill() {
  if (process_ <= 0) return;
  ::kill(process_, SIGKILL);
  ::waitpid(process_, nullptr, 0);
  process_ = 0;
}

bool Proxy::Running() {
  if (process_ <= 0) return false;
  int status = 0;
  if (::waitpid(process_, &status, WNOHANG) != process_) return true;
  process_ = 0;
  ended_ = WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status);
  record_.Line("instance " + name_ + " ended with " + std::to_string(ended_));
  return false;
}

Task Proxy::AwaitReady(Ms limit) {
  const auto until = Clock::now() + limit;
  while (Clock::now() < until) {
    if (co_await HttpGet(ready_port_, "/ready") == 200) {
      record_.Line("instance " + name_ + " is ready");
      co_return;
    }
    co_await Sleep(Ms(50));
  }
  throw CannotRun("instance " + name_ + " did not become ready");
}

asio::awaitable<int> HttpGet(int port, std::string target) {
  using namespace asio::experimental::awaitable_operators;  // NOLINT
  const auto executor = co_await asio::this_coro::executor;
  boost::beast::tcp_stream stream(executor);
  stream.expires_after(std::chrono::seconds(1));
  try {
    co_await stream.async_connect(Endpoint(port), use_awaitable);
    http::request<http::empty_body> request{http::verb::get, target, 11};
    request.set(http::field::host, "127.0.0.1");
    request.keep_alive(false);
    co_await http::async_write(stream, request, use_awaitable);
    boost::beast::flat_buffer buf;
    http::response<http::string_body> response;
    co_await http::async_read(stream, buf, response, use_awaitable);
    co_return static_cast<int>(response.result_int());
  } catch (const boost::system::system_error&) {
    co_return 0;
  }
}

// --------------------------------------------------------------- client

asio::awaitable<Reply> Client::Start(int port, std::string database) {
  Reply reply;
  try {
    co_await socket_.async_connect(Endpoint(port), use_awaitable);
    socket_.set_option(tcp::no_delay(true));
    connected_ = true;
    const std::string line = "START " + database + " " + name_ + "\r\n";
    co_await asio::async_write(socket_, asio::buffer(line), use_awaitable);
  } catch (const boost::system::system_error&) {
    connected_ = false;
    reply.closed = true;
    co_return reply;
  }
  co_return co_await ReadReply(true);
}

asio::awaitable<Reply> Client::Query(std::string text) {
  static std::uint64_t next = 1;
  last_id_ = name_ + "x" + std::to_string(next++);
  const std::string line = "QUERY " + last_id_ + " " + text + "\r\n";
  record_.Line("client " + name_ + " sends " + last_id_ + " " + text);
  try {
    co_await asio::async_write(socket_, asio::buffer(line), use_awaitable);
  } catch (const boost::system::system_error&) {
    connected_ = false;
  }
  co_return co_await ReadReply(false);
}

asio::awaitable<Reply> Client::ReadReply(bool handshake) {
  Reply reply;
  try {
    for (;;) {
      const std::size_t n = co_await asio::async_read_until(
          socket_, asio::dynamic_buffer(buf_), "\r\n", use_awaitable);
      const std::string line = buf_.substr(0, n - 2);
      buf_.erase(0, n);
      const auto fields = Split(line, ' ', 3);
      if (fields[0] == "ROW") reply.rows.push_back(line.substr(4));
      if (fields[0] == "DONE") reply.receipt = line.substr(5);
      if (fields[0] == "ERR") {
        reply.error = fields.at(1);
        reply.text = fields.size() > 2 ? fields[2] : "";
      }
      if (fields[0] != "READY") continue;
      reply.state = fields.at(1);
      reply.position = fields.size() > 2 ? fields[2] : "";
      break;
    }
  } catch (const boost::system::system_error&) {
    connected_ = false;
    reply.closed = true;
  }
  if (!handshake || !reply.ok()) {
    record_.Line(
        "client " + name_ + " gets " + (handshake ? "START" : last_id_) + " " +
        (reply.rows.empty() ? "" : "ROW " + reply.rows[0] + " ") +
        (reply.closed          ? "connection closed"
         : reply.error.empty() ? "DONE " + reply.receipt
                               : "ERR " + reply.error + " " + reply.text));
  }
  co_return reply;
}

void Client::Close() {
  boost::system::error_code ignored;
  socket_.close(ignored);
  connected_ = false;
}

// ----------------------------------------------------------------- case

std::string ConfigText(int version, const std::vector<RouteSpec>& routes,
                       const std::vector<std::string>& services, int max_conns,
                       int sync_replicas) {
  Json::Value config;
  config["version"] = version;
  config["routes"] = Json::Value(Json::arrayValue);
  for (const auto& it : routes) {
    Json::Value route;
    route["name"] = it.host;
    route["host"] = it.host;
    route["type"] = it.type;
    route["backend"] = it.backend;
    route["timeout_ms"] = it.timeout_ms;
    route["goal_ms"] = it.goal_ms;
    route["max_stale_ms"] = it.max_stale_ms;
    route["priority"] = 1;
    config["routes"].append(route);
  }
  for (const auto& it : services) {
    Json::Value service;
    service["name"] = it;
    service["max_conns"] = max_conns;
    service["sync_replicas"] = sync_replicas;
    config["backends"].append(service);
  }
  config["limits"]["tx_idle_ms"] = 3000;
  return ToText(config);
}

Group& World::AddGroup(const std::string& service) {
  Group& group = groups.emplace_back(io, record, store, service);
  cloud.AddGroup(group);
  asio::co_spawn(io, group.Pump(kTick), asio::detached);
  return group;
}

Proxy& World::AddProxy(const std::string& name, const std::string& zone) {
  const int store_port = store.Listen(name);
  const int cloud_port = cloud.Listen(name);
  proxies.push_back(std::make_unique<Proxy>(record, deployment, name, zone,
                                            store_port, cloud_port));
  for (Group& group : groups) group.SetZone(name, zone);
  return *proxies.back();
}

void World::CutZone(const std::string& zone, bool cut) {
  for (Group& group : groups) {
    group.CutZone(zone, cut);
    for (const auto& server : group.servers()) {
      if (server->zone() == zone) server->CutFromStore(cut);
      for (const auto& it : proxies) {
        if ((it->zone() == zone) != (server->zone() == zone)) {
          server->CutFromInstance(it->name(), cut);
        }
      }
    }
  }
  for (const auto& it : proxies) {
    if (it->zone() != zone) continue;
    store.SetMode(it->name(),
                  cut ? Store::Mode::kSilent : Store::Mode::kServing);
    cloud.CutFromInstance(it->name(), cut);
  }
}

Task World::StartAll() {
  constexpr Ms kReadyLimit(15'000);
  for (const auto& it : proxies) it->Start();
  for (const auto& it : proxies) co_await it->AwaitReady(kReadyLimit);
}

bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

int RunCase(const std::function<asio::awaitable<bool>(asio::io_context&,
                                                      Record&)>& body) {
  constexpr std::chrono::seconds kLimit(115);
  ::signal(SIGPIPE, SIG_IGN);
  const char* path = std::getenv("RECORD");
  Record record(path == nullptr ? "record.txt" : path);
  asio::io_context io(1);
  int code = 2;
  asio::steady_timer limit(io, kLimit);
  limit.async_wait([&](boost::system::error_code ec) {
    if (ec) return;
    record.Line("the case did not end in time");
    io.stop();
  });
  asio::co_spawn(
      io, body(io, record), [&](const std::exception_ptr& error, bool held) {
        if (error) {
          try {
            std::rethrow_exception(error);
          } catch (const std::exception& it) {
            record.Line(std::string("cannot run: ") + it.what());
            std::cerr << "cannot run: " << it.what() << "\n";
          }
        } else {
          code = held ? 0 : 1;
          record.Line(held ? "the rule held" : "THE RULE WAS BROKEN");
        }
        io.stop();
      });
  io.run();
  std::cout << (code == 0   ? "held"
                : code == 1 ? "broken"
                            : "could not run")
            << std::endl;
  std::_Exit(code);
}

}  // namespace lab
