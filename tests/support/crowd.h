/// \file
/// Misbehaving connections, and what a process uses while they exist.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace corianderdock::test {

/// Resident memory and open descriptors of a process, read from /proc.
class ProcessWatch {
 public:
  explicit ProcessWatch(pid_t process) : process_(process) {}

  /// Reads both and keeps the highest values.
  void Sample();

  /// Highest resident memory seen, in bytes.
  [[nodiscard]] std::uint64_t max_memory() const { return max_memory_; }
  /// Highest number of descriptors seen.
  [[nodiscard]] std::size_t max_descriptors() const { return max_descriptors_; }
  /// Whether the process exists and has not ended.
  [[nodiscard]] bool Alive() const;

 private:
  pid_t process_;
  std::uint64_t max_memory_ = 0;
  std::size_t max_descriptors_ = 0;
};

/// Connections to one loopback port that send what they are told and never
/// read. The process may close any of them at any time.
class Crowd {
 public:
  /// Opens `size` connections with small receive buffers.
  Crowd(int port, std::size_t size, ProcessWatch& watch);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends `bytes` on every connection, in pieces of at most `piece` bytes,
  /// with `pause` after each round of pieces. Returns when all is sent, or when
  /// no connection has accepted anything for 500 ms, or after 10 s.
  void Send(std::string_view bytes, std::size_t piece,
            std::chrono::milliseconds pause);

  /// Returns how many connections are open and were answered with `text` first.
  [[nodiscard]] std::size_t CountAnswered(std::string_view text) const;

  /// Waits, and samples the process meanwhile.
  void Wait(std::chrono::milliseconds time);

 private:
  std::vector<int> sockets_;  ///< -1 once closed by the peer
  ProcessWatch& watch_;
};

/// Blocking connection of one ordinary client.
class PlainClient {
 public:
  explicit PlainClient(int port);
  ~PlainClient();
  PlainClient(const PlainClient&) = delete;
  PlainClient& operator=(const PlainClient&) = delete;

  /// Sends `bytes` and returns what is received until `end` appears; what was
  /// received so far if the peer closes or is silent for 5 s.
  std::string Exchange(std::string_view bytes, std::string_view end);

 private:
  int socket_;
};

}  // namespace corianderdock::test
