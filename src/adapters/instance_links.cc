#include "corianderdock/net/instance_links.h"

#include <array>
#include <utility>
#include <vector>

#include "corianderdock/boot_clock.h"
#include "corianderdock/net/http_server.h"

namespace corianderdock::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Begins the first line of a link; 1 is the version of the protocol.
constexpr std::string_view kFirstWords = "EXCHANGE 1 ";
/// A message is always written in this form, so that its body is found without
/// parsing it.
constexpr std::string_view kTopicPart = R"({"topic":")";
constexpr std::string_view kBodyPart = R"(","body":)";
constexpr std::string_view kEndPart = "}";
constexpr std::string_view kLineEnd = "\r\n";
/// Interval of the check for idle links and attempts that take too long.
constexpr Duration kSweepInterval = std::chrono::seconds(1);

}  // namespace

InstanceLinks::InstanceLinks(asio::io_context& io, InstanceId self,
                             InstanceLinkLimits limits, OnMessage on_message)
    : io_(io),
      self_(std::move(self)),
      limits_(limits),
      on_message_(std::move(on_message)),
      sweep_timer_(io) {}

void InstanceLinks::SetAddresses(std::map<InstanceId, std::string> addresses) {
  addresses_ = std::move(addresses);
}

bool InstanceLinks::Send(const InstanceId& to, std::string_view topic,
                         std::string_view body) {
  std::string line;
  for (const std::string_view it :
       {kTopicPart, topic, kBodyPart, body, kEndPart, kLineEnd}) {
    line.append(it);
  }
  const bool too_long = line.size() > limits_.max_line_bytes + kLineEnd.size();
  if (too_long || UnsentBytes() + line.size() > limits_.max_unsent_bytes) {
    ++dropped_;
    return false;
  }
  const auto accepted = accepted_.find(to);
  if (accepted != accepted_.end() && !accepted->second->closed()) {
    return Write(*accepted->second, line);
  }
  Link& link = opened_[to];
  link.used_at = BootNow();
  if (link.socket) return Write(*link.socket, line);
  if (!link.connecting && !Connect(to, link)) {
    ++dropped_;
    return false;
  }
  if (link.queued.size() + line.size() > limits_.max_link_unsent_bytes) {
    ++dropped_;
    return false;
  }
  link.queued.append(line);
  return true;
}

bool InstanceLinks::Write(LineSocket& socket, std::string_view line) {
  if (socket.unsent().size() + line.size() > limits_.max_link_unsent_bytes) {
    ++dropped_;
    return false;
  }
  socket.Write(line);
  socket.Flush();
  return true;
}

std::size_t InstanceLinks::UnsentBytes() const {
  std::size_t bytes = 0;
  for (const auto& [id, socket] : accepted_) bytes += socket->unsent().size();
  for (const auto& [id, link] : opened_) {
    bytes += link.queued.size();
    if (link.socket) bytes += link.socket->unsent().size();
  }
  return bytes;
}

/// Returns false if no attempt can be made now.
bool InstanceLinks::Connect(const InstanceId& to, Link& link) {
  const auto address = addresses_.find(to);
  if (address == addresses_.end() || BootNow() < link.retry_at) return false;
  tcp::endpoint endpoint;
  try {
    endpoint = ParseEndpoint(address->second);
  } catch (const std::invalid_argument&) {
    return false;
  }
  auto socket = std::make_shared<tcp::socket>(io_);
  link.connecting = socket;
  socket->async_connect(endpoint, [this, to, socket](error_code ec) {
    OnConnected(to, socket, static_cast<bool>(ec));
  });
  ScheduleSweep();
  return true;
}

void InstanceLinks::OnConnected(const InstanceId& to,
                                const std::shared_ptr<tcp::socket>& socket,
                                bool failed) {
  const auto it = opened_.find(to);
  if (it == opened_.end() || it->second.connecting != socket) return;
  Link& link = it->second;
  link.connecting.reset();
  const std::string queued = std::exchange(link.queued, {});
  if (failed) {
    link.retry_at = BootNow() + limits_.retry_pause;
    return;
  }
  LineLimits limits;
  limits.max_line_bytes = limits_.max_line_bytes;
  limits.max_unsent_bytes = limits_.max_link_unsent_bytes;
  link.socket = LineSocket::Make(std::move(*socket), limits);
  link.socket->Write(std::string(kFirstWords) + self_ + "\r\n" + queued);
  const auto line_socket = link.socket;
  const std::weak_ptr<LineSocket> weak = line_socket;
  line_socket->Start(
      [this, to, weak](std::string_view line) {
        const auto self = weak.lock();
        if (!self || Receive(to, line)) return;
        self->Close();
        OnFailed(to, self);
      },
      [this, to, weak](const std::string&) { OnFailed(to, weak.lock()); });
  line_socket->Flush();
}

void InstanceLinks::OnFailed(const InstanceId& to,
                             const std::shared_ptr<LineSocket>& socket) {
  const auto it = opened_.find(to);
  if (it == opened_.end() || it->second.socket != socket) return;
  it->second.socket.reset();
  it->second.retry_at = BootNow() + limits_.retry_pause;
}

std::optional<InstanceId> InstanceLinks::ParseFirstLine(std::string_view line) {
  if (!line.starts_with(kFirstWords)) return std::nullopt;
  line.remove_prefix(kFirstWords.size());
  const bool valid = !line.empty() && line.find(' ') == std::string_view::npos;
  if (!valid) return std::nullopt;
  return InstanceId(line);
}

void InstanceLinks::Accept(const InstanceId& from,
                           const std::shared_ptr<LineSocket>& socket) {
  LineLimits limits;
  limits.max_line_bytes = limits_.max_line_bytes;
  limits.max_unsent_bytes = limits_.max_link_unsent_bytes;
  socket->SetLimits(limits);
  const auto replaced = std::exchange(accepted_[from], socket);
  if (replaced && replaced != socket) replaced->Close();
}

bool InstanceLinks::Receive(const InstanceId& from, std::string_view line) {
  const bool framed = line.starts_with(kTopicPart) && line.ends_with(kEndPart);
  if (!framed) return false;
  line.remove_prefix(kTopicPart.size());
  line.remove_suffix(kEndPart.size());
  const std::size_t end = line.find(kBodyPart);
  if (end == std::string_view::npos) return false;
  on_message_(from, line.substr(0, end), line.substr(end + kBodyPart.size()));
  return true;
}

void InstanceLinks::Remove(const InstanceId& from,
                           const std::shared_ptr<LineSocket>& socket) {
  const auto it = accepted_.find(from);
  if (it != accepted_.end() && it->second == socket) accepted_.erase(it);
}

void InstanceLinks::ScheduleSweep() {
  if (sweep_scheduled_) return;
  sweep_scheduled_ = true;
  sweep_timer_.expires_after(kSweepInterval);
  sweep_timer_.async_wait([this](error_code ec) {
    sweep_scheduled_ = false;
    if (ec) return;
    Sweep();
  });
}

/// Closes idle links and ends attempts that take too long.
void InstanceLinks::Sweep() {
  const TimePoint now = BootNow();
  for (auto& [id, link] : opened_) {
    if (link.connecting && now - link.used_at >= limits_.connect_timeout) {
      error_code ignored;
      link.connecting->close(ignored);
    }
    if (link.socket && now - link.used_at >= limits_.idle_timeout) {
      link.socket->Close();
      link.socket.reset();
    }
  }
  std::erase_if(opened_, [&](const auto& it) {
    const Link& link = it.second;
    return !link.socket && !link.connecting && now >= link.retry_at;
  });
  if (!opened_.empty()) ScheduleSweep();
}

}  // namespace corianderdock::net
