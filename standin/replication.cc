#include "replication.h"

#include <json/json.h>

#include <algorithm>
#include <boost/asio/connect.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <sstream>
#include <utility>

#include "corianderdock/codec.h"
#include "corianderdock/net/http_server.h"

namespace standin {

namespace asio = boost::asio;
using asio::use_awaitable;
using asio::ip::tcp;
using namespace asio::experimental::awaitable_operators;  // NOLINT

namespace {

constexpr Milliseconds kHeartbeatInterval{50};
constexpr Milliseconds kStreamTimeout{500};
constexpr Milliseconds kReconnectInterval{50};
constexpr std::size_t kMaxEntriesPerMessage = 200;

std::string ToLine(const Json::Value& value) {
  return corianderdock::ToText(value) + "\n";
}

asio::awaitable<Json::Value> ReadLine(tcp::socket& socket,
                                      asio::streambuf& buf) {
  co_await asio::async_read_until(socket, buf, '\n', use_awaitable);
  std::istream in(&buf);
  std::string line;
  std::getline(in, line);
  Json::Value value;
  std::istringstream(line) >> value;
  co_return value;
}

asio::awaitable<void> SleepFor(BackendStore& store, Milliseconds duration) {
  asio::steady_timer timer(store.io, duration);
  co_await timer.async_wait(use_awaitable);
}

Json::Value NextEntriesMessage(const BackendStore& store, std::uint64_t& next) {
  Json::Value message;
  message["term"] = store.log.term();
  message["entries"] = Json::arrayValue;
  const auto& entries = store.log.entries();
  for (std::size_t n = 0; n < kMaxEntriesPerMessage && next <= entries.size();
       ++n, ++next) {
    Json::Value entry;
    entry["term"] = entries[next - 1].term;
    entry["sql"] = Json::arrayValue;
    for (const auto& it : entries[next - 1].statements) entry["sql"].append(it);
    message["entries"].append(entry);
  }
  return message;
}

Json::Value HandshakeMessage(const BackendStore& store) {
  Json::Value handshake;
  handshake["term"] = store.log.term();
  handshake["zone"] = store.options.zone;
  handshake["last"] = store.log.Last().index;
  handshake["starts"] = Json::arrayValue;
  for (const auto& it : store.log.TermStarts()) {
    Json::Value start;
    start["term"] = it.term;
    start["index"] = it.index;
    handshake["starts"].append(start);
  }
  return handshake;
}

/// Appends and applies the entries of one message in order. Stops if the
/// stream, the term or the role changes in between.
asio::awaitable<void> ApplyMessage(BackendStore& store,
                                   DelayedMessage message) {
  auto still_following = [&] {
    return store.stream_id == message.stream_id &&
           store.log.term() == message.term &&
           store.log.role() == Role::kReplica;
  };
  for (const auto& it : message.entries) {
    if (!still_following()) co_return;
    store.log.AppendReceived(it);
    while (store.applied_index < store.log.Last().index) {
      if (!store.ApplyNext()) co_await SleepFor(store, Milliseconds(1));
    }
  }
}

DelayedMessage MakeDelayedMessage(const BackendStore& store,
                                  const Json::Value& message,
                                  std::uint64_t term) {
  DelayedMessage delayed;
  delayed.due = std::chrono::steady_clock::now() + store.options.lag;
  delayed.stream_id = store.stream_id;
  delayed.term = term;
  for (const auto& it : message["entries"]) {
    LogEntry entry;
    entry.term = it["term"].asUInt64();
    for (const auto& sql : it["sql"])
      entry.statements.push_back(sql.asString());
    delayed.entries.push_back(std::move(entry));
  }
  return delayed;
}

/// Receives one stream until the connection, the term or the role of replica
/// ends. The watchdog closes the socket after `kStreamTimeout` without a
/// message.
asio::awaitable<void> ReceiveStream(BackendStore& store, tcp::socket& socket,
                                    asio::steady_timer& watchdog,
                                    std::uint64_t term) {
  asio::streambuf buf;
  const Json::Value first = co_await ReadLine(socket, buf);
  store.RecordPrimaryContact();
  ++store.stream_id;
  store.delayed_messages.clear();
  store.TruncateTo(first["truncate_to"].asUInt64());
  while (store.log.term() == term && store.log.role() == Role::kReplica) {
    watchdog.expires_after(kStreamTimeout);
    watchdog.async_wait([&socket](boost::system::error_code ec) {
      if (!ec) socket.close();
    });
    const Json::Value message = co_await ReadLine(socket, buf);
    if (message["term"].asUInt64() != term) co_return;
    store.RecordPrimaryContact();
    if (message["entries"].empty()) continue;
    store.delayed_messages.push_back(MakeDelayedMessage(store, message, term));
    store.message_arrived.cancel();
  }
}

asio::awaitable<void> FollowUntilDisconnected(BackendStore& store) {
  const std::uint64_t term = store.log.term();
  tcp::socket socket(store.io);
  asio::steady_timer watchdog(store.io, kStreamTimeout);
  watchdog.async_wait([&socket](boost::system::error_code ec) {
    if (!ec) socket.close();
  });
  co_await socket.async_connect(
      corianderdock::net::ParseEndpoint(store.log.primary()), use_awaitable);
  std::string request(8, '\0');
  request[3] = 8;
  for (int n = 0; n < 4; ++n) {
    request[4 + n] = static_cast<char>(kReplicationRequestCode >> (24 - 8 * n));
  }
  request += ToLine(HandshakeMessage(store));
  co_await asio::async_write(socket, asio::buffer(request), use_awaitable);
  co_await ReceiveStream(store, socket, watchdog, term);
}

}  // namespace

asio::awaitable<void> ServeReplica(tcp::socket socket, BackendStore& store) {
  asio::streambuf buf;
  const Json::Value handshake = co_await ReadLine(socket, buf);
  const std::string zone = handshake["zone"].asString();
  const std::uint64_t term = handshake["term"].asUInt64();
  if (store.log.role() != Role::kPrimary || store.log.term() != term) co_return;
  std::vector<TermStart> starts;
  for (const auto& it : handshake["starts"]) {
    starts.push_back({it["term"].asUInt64(), it["index"].asUInt64()});
  }
  const std::uint64_t common =
      store.log.CommonIndex(starts, handshake["last"].asUInt64());
  Json::Value first;
  first["truncate_to"] = common;
  std::uint64_t next = common + 1;
  std::string out = ToLine(first);
  while (store.log.role() == Role::kPrimary && store.log.term() == term) {
    if (store.faults.cut_zones.contains(zone)) {
      co_await SleepFor(store, kHeartbeatInterval);
      continue;
    }
    out += ToLine(NextEntriesMessage(store, next));
    co_await asio::async_write(socket, asio::buffer(out), use_awaitable);
    out.clear();
    if (next <= store.log.Last().index) continue;
    asio::steady_timer timer(store.io, kHeartbeatInterval);
    boost::system::error_code ec;
    co_await (
        timer.async_wait(use_awaitable) ||
        store.log_changed.async_wait(asio::redirect_error(use_awaitable, ec)));
  }
}

asio::awaitable<void> ApplyDelayedMessages(BackendStore& store) {
  for (;;) {
    const auto now = std::chrono::steady_clock::now();
    if (!store.delayed_messages.empty() &&
        store.delayed_messages.front().due <= now) {
      DelayedMessage message = std::move(store.delayed_messages.front());
      store.delayed_messages.pop_front();
      co_await ApplyMessage(store, std::move(message));
      continue;
    }
    store.message_arrived.expires_at(
        store.delayed_messages.empty()
            ? std::chrono::steady_clock::time_point::max()
            : store.delayed_messages.front().due);
    boost::system::error_code ec;
    co_await store.message_arrived.async_wait(
        asio::redirect_error(use_awaitable, ec));
  }
}

asio::awaitable<void> FollowPrimary(BackendStore& store) {
  for (;;) {
    if (store.log.role() == Role::kReplica && !store.log.primary().empty()) {
      try {
        co_await FollowUntilDisconnected(store);
      } catch (const std::exception&) {  // NOLINT(bugprone-empty-catch)
      }
    }
    co_await SleepFor(store, kReconnectInterval);
  }
}

}  // namespace standin
