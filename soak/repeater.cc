#include "soak/repeater.h"

#include <algorithm>
#include <utility>

namespace soak {

using asio::use_awaitable;
using lab::tcp;

namespace {

constexpr char kLineEnd[] = "\r\n";

tcp::endpoint Loopback(int port) {
  return {asio::ip::address_v4::loopback(), static_cast<std::uint16_t>(port)};
}

std::uint64_t NextConnection() {
  static std::uint64_t last = 0;
  return ++last;
}

/// Reads a line with its end.
asio::awaitable<std::string> ReadLine(tcp::socket& socket, std::string& buf) {
  const std::size_t n = co_await asio::async_read_until(
      socket, asio::dynamic_buffer(buf), kLineEnd, use_awaitable);
  std::string line = buf.substr(0, n);
  buf.erase(0, n);
  co_return line;
}

std::string WithoutEnd(const std::string& line) {
  return line.substr(0, line.size() - (sizeof kLineEnd - 1));
}

}  // namespace

std::vector<std::string> SplitFields(const std::string& line,
                                     std::size_t limit) {
  std::vector<std::string> fields;
  std::size_t begin = 0;
  while (fields.size() + 1 < limit) {
    const std::size_t end = line.find(' ', begin);
    if (end == std::string::npos) break;
    fields.push_back(line.substr(begin, end - begin));
    begin = end + 1;
  }
  fields.push_back(line.substr(begin));
  return fields;
}

struct Repeater::Link {
  Link(asio::io_context& io, tcp::socket accepted)
      : proxy(std::move(accepted)), server(io) {}

  tcp::socket proxy;
  tcp::socket server;
  std::uint64_t number = NextConnection();
  std::deque<Command> outstanding;
  std::string out;  ///< to the proxy
  std::string state = "I";
  std::string position = "-";
  bool writing = false;
  bool muted = false;    ///< nothing more is sent to the proxy
  bool closing = false;  ///< once `out` is sent
  bool closed = false;
};

Repeater::Repeater(asio::io_context& io, std::string server, int server_port,
                   const Random& random, const RelayObserver& observer)
    : io_(io),
      server_(std::move(server)),
      server_port_(server_port),
      port_(lab::FreePort()),
      random_(random),
      observer_(observer),
      acceptor_(io, Loopback(port_)) {
  asio::co_spawn(io_, Accept(), asio::detached);
}

Task Repeater::Accept() {
  for (;;) {
    tcp::socket socket = co_await acceptor_.async_accept(use_awaitable);
    socket.set_option(tcp::no_delay(true));
    auto link = std::make_shared<Link>(io_, std::move(socket));
    asio::co_spawn(io_, PassCommands(std::move(link)), asio::detached);
  }
}

Task Repeater::PassCommands(LinkPtr link) {
  try {
    co_await link->server.async_connect(Loopback(server_port_), use_awaitable);
    link->server.set_option(tcp::no_delay(true));
    asio::co_spawn(io_, PassReplies(link), asio::detached);
    std::string buf;
    for (;;) {
      const std::string line = co_await ReadLine(link->proxy, buf);
      const auto fields = SplitFields(WithoutEnd(line), 3);
      if (fields[0] == "START") {
        link->outstanding.push_back({server_, link->number, "", line, false});
      } else if (fields[0] == "QUERY" && fields.size() > 2) {
        Command command{server_, link->number, fields[1], fields[2], false};
        command.refused = Refuses(*link, command);
        if (!command.refused && observer_.on_command) {
          observer_.on_command(command);
        }
        link->outstanding.push_back(command);
        if (command.refused) {
          SendRefusals(link);
          continue;
        }
      }
      co_await asio::async_write(link->server, asio::buffer(line),
                                 use_awaitable);
    }
  } catch (const boost::system::system_error&) {
    Close(*link);
  }
}

Task Repeater::PassReplies(LinkPtr link) {
  std::string lines;
  std::string buf;
  ServerReply reply;
  try {
    for (;;) {
      const std::string line = co_await ReadLine(link->server, buf);
      if (link->closed) co_return;  // observers have forgotten the connection
      lines += line;
      const auto fields = SplitFields(WithoutEnd(line), 3);
      if (fields[0] == "ROW") reply.rows.push_back(WithoutEnd(line).substr(4));
      if (fields[0] == "DONE") reply.receipt = WithoutEnd(line).substr(5);
      if (fields[0] == "ERR") reply.error = fields.at(1);
      if (fields[0] != "READY") continue;
      reply.state = fields.at(1);
      link->state = fields.at(1);
      link->position = fields.size() > 2 ? fields[2] : "-";
      OnReply(link, lines, reply);
      SendRefusals(link);
      lines.clear();
      reply = {};
    }
  } catch (const boost::system::system_error&) {
    link->closing = true;
    Send(link, lines + buf);  // an error may be followed by a close
  }
}

void Repeater::OnReply(const LinkPtr& link, const std::string& lines,
                       const ServerReply& reply) {
  if (link->outstanding.empty()) {
    Send(link, lines);
    return;
  }
  const Command command = std::move(link->outstanding.front());
  link->outstanding.pop_front();
  if (observer_.on_reply) observer_.on_reply(command, reply);
  if (random_.Chance(disturbance_.losses)) {
    link->muted = true;
  } else if (random_.Chance(disturbance_.cuts)) {
    Send(link, lines.substr(0, random_.Index(lines.size())));
    link->muted = true;
    link->closing = true;
  } else {
    Send(link, lines);
    if (!Repeats(command, reply)) return;
    ++repeats_;
    asio::co_spawn(io_,
                   SendAgain(link, lines,
                             random_.Between(disturbance_.min_delay,
                                             disturbance_.max_delay)),
                   asio::detached);
  }
}

bool Repeater::Repeats(const Command& command, const ServerReply& reply) {
  bool chosen = true;
  switch (disturbance_.repeated) {
    case Repeated::kClients:
      chosen = !command.id.empty() && command.id != "-";
      break;
    case Repeated::kOwn:
      chosen = command.id == "-";
      break;
    case Repeated::kErrors:
      chosen = !reply.error.empty();
      break;
    case Repeated::kAll:
      break;
  }
  return chosen && random_.Chance(disturbance_.repeats);
}

/// Only outside of transactions, whose state is the server's.
bool Repeater::Refuses(const Link& link, const Command& command) {
  if (command.id == "-") return false;
  const auto begins = [](const Command& it) {
    return it.text.rfind("BEGIN", 0) == 0;
  };
  const bool may_be_open =
      link.state != "I" ||
      std::any_of(link.outstanding.begin(), link.outstanding.end(), begins);
  return !may_be_open && !begins(command) &&
         random_.Chance(disturbance_.refusals);
}

void Repeater::SendRefusals(const LinkPtr& link) {
  while (!link->outstanding.empty() && link->outstanding.front().refused) {
    const Command command = std::move(link->outstanding.front());
    link->outstanding.pop_front();
    const std::string lines = "ERR BUSY " + server_ + kLineEnd + "READY I " +
                              link->position + kLineEnd;
    Send(link, lines);
    if (!Repeats(command, {{}, "", "BUSY", "I"})) continue;
    ++repeats_;
    asio::co_spawn(io_,
                   SendAgain(link, lines,
                             random_.Between(disturbance_.min_delay,
                                             disturbance_.max_delay)),
                   asio::detached);
  }
}

Task Repeater::SendAgain(LinkPtr link, std::string lines, Ms delay) {
  co_await lab::Sleep(delay);
  if (!link->closing) Send(link, lines);
}

void Repeater::Send(const LinkPtr& link, const std::string& lines) {
  if (link->closed) return;
  if (!link->muted) link->out += lines;
  if (link->writing) return;
  link->writing = true;
  asio::co_spawn(io_, Write(link), asio::detached);
}

Task Repeater::Write(LinkPtr link) {
  try {
    while (!link->out.empty()) {
      const std::string lines = std::exchange(link->out, {});
      co_await asio::async_write(link->proxy, asio::buffer(lines),
                                 use_awaitable);
    }
    link->writing = false;
    if (link->closing) Close(*link);
  } catch (const boost::system::system_error&) {
    Close(*link);
  }
}

void Repeater::Close(Link& link) {
  if (link.closed) return;
  link.closed = true;
  link.closing = true;
  boost::system::error_code ignored;
  link.proxy.close(ignored);
  link.server.close(ignored);
  if (observer_.on_close) observer_.on_close(link.number);
}

}  // namespace soak
