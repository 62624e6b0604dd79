#include "support/crowd.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <thread>

namespace corianderdock::test {

namespace {

using Clock = std::chrono::steady_clock;

/// Small, so that answers stay with the process.
constexpr int kReceiveBufferBytes = 4096;
constexpr std::chrono::milliseconds kSampleInterval{10};

sockaddr_in Loopback(int port) {
  sockaddr_in in{};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  in.sin_port = htons(static_cast<std::uint16_t>(port));
  return in;
}

int Connect(int port, bool small_buffer) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  if (small_buffer) {
    (void)::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
                       sizeof(kReceiveBufferBytes));
  }
  const timeval limit{5, 0};
  (void)::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  (void)::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in in = Loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&in), sizeof(in)) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

}  // namespace

void ProcessWatch::Sample() {
  const std::string folder = "/proc/" + std::to_string(process_);
  std::ifstream status(folder + "/status");
  std::string word;
  while (status >> word) {
    if (word != "VmRSS:") continue;
    std::uint64_t kilobytes = 0;
    status >> kilobytes;
    max_memory_ = std::max(max_memory_, kilobytes << 10);
    break;
  }
  std::error_code ec;
  std::size_t n = 0;
  for (std::filesystem::directory_iterator it(folder + "/fd", ec), end;
       !ec && it != end; it.increment(ec)) {
    ++n;
  }
  max_descriptors_ = std::max(max_descriptors_, n);
}

bool ProcessWatch::Alive() const {
  std::ifstream in("/proc/" + std::to_string(process_) + "/stat");
  std::string id;
  std::string name;
  std::string state;
  return (in >> id >> name >> state) && state != "Z" && state != "X";
}

Crowd::Crowd(int port, std::size_t size, ProcessWatch& watch) : watch_(watch) {
  for (std::size_t n = 0; n < size; ++n) {
    sockets_.push_back(Connect(port, true));
  }
  watch_.Sample();
}

Crowd::~Crowd() {
  for (const int it : sockets_) {
    if (it >= 0) ::close(it);
  }
}

void Crowd::Send(std::string_view bytes, std::size_t piece,
                 std::chrono::milliseconds pause) {
  constexpr std::chrono::seconds kLimit(10);
  constexpr std::chrono::milliseconds kIdleLimit(500);
  std::vector<std::size_t> sent(sockets_.size(), 0);
  const auto until = Clock::now() + kLimit;
  auto progressed = Clock::now();
  auto sampled = Clock::now();
  bool pending = true;
  while (pending && Clock::now() < until &&
         Clock::now() - progressed < kIdleLimit) {
    pending = false;
    for (std::size_t n = 0; n < sockets_.size(); ++n) {
      if (sockets_[n] < 0 || sent[n] == bytes.size()) continue;
      const std::string_view rest = bytes.substr(sent[n], piece);
      const ssize_t done = ::send(sockets_[n], rest.data(), rest.size(),
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
      if (done > 0) {
        sent[n] += static_cast<std::size_t>(done);
        progressed = Clock::now();
      } else if (errno != EAGAIN && errno != EWOULDBLOCK) {
        ::close(sockets_[n]);
        sockets_[n] = -1;
        continue;
      }
      pending = pending || sent[n] < bytes.size();
    }
    if (Clock::now() - sampled >= kSampleInterval) {
      watch_.Sample();
      sampled = Clock::now();
    }
    if (pause.count() > 0) std::this_thread::sleep_for(pause);
  }
  watch_.Sample();
}

std::size_t Crowd::CountAnswered(std::string_view text) const {
  std::size_t count = 0;
  std::string buf(text.size(), '\0');
  for (const int it : sockets_) {
    if (it < 0) continue;
    const ssize_t n =
        ::recv(it, buf.data(), buf.size(), MSG_PEEK | MSG_DONTWAIT);
    if (n == static_cast<ssize_t>(text.size()) && buf == text) ++count;
  }
  return count;
}

void Crowd::Wait(std::chrono::milliseconds time) {
  const auto until = Clock::now() + time;
  while (Clock::now() < until) {
    watch_.Sample();
    std::this_thread::sleep_for(kSampleInterval);
  }
}

PlainClient::PlainClient(int port) : socket_(Connect(port, false)) {}

PlainClient::~PlainClient() {
  if (socket_ >= 0) ::close(socket_);
}

std::string PlainClient::Exchange(std::string_view bytes,
                                  std::string_view end) {
  std::string received;
  if (socket_ < 0) return received;
  while (!bytes.empty()) {
    const ssize_t n = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0) break;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  std::vector<char> buf(64 << 10);
  while (received.find(end) == std::string::npos) {
    const ssize_t n = ::recv(socket_, buf.data(), buf.size(), 0);
    if (n <= 0) break;
    received.append(buf.data(), static_cast<std::size_t>(n));
  }
  return received;
}

}  // namespace corianderdock::test
