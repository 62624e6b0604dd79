/// \file
/// A client's session whose statements are audited.
#pragma once

#include <string>

#include "soak/audit.h"
#include "soak/cluster.h"

namespace soak {

/// One statement at a time.
class Caller {
 public:
  /// `audit` may be null. It has to outlive the session, as `cluster` has.
  Caller(Cluster& cluster, Audit* audit, const std::string& name,
         std::string service)
      : cluster_(cluster),
        audit_(audit),
        name_(name),
        service_(std::move(service)),
        client_(cluster.io, cluster.record, name) {}

  asio::awaitable<lab::Reply> Start(int port, const std::string& database) {
    return client_.Start(port, database);
  }
  /// Sends a statement and awaits its reply.
  asio::awaitable<lab::Reply> Ask(std::string text);
  [[nodiscard]] const std::string& last_id() const { return client_.last_id(); }
  [[nodiscard]] bool connected() const { return client_.connected(); }
  /// What the proxy acknowledged, by name: mode and shape.
  [[nodiscard]] const Texts& prepared() const { return prepared_; }
  void Close() { client_.Close(); }

 private:
  void OnAcknowledged(const std::string& text);

  Cluster& cluster_;
  Audit* audit_;
  std::string name_;
  std::string service_;
  lab::Client client_;
  Texts values_;
  Texts prepared_;
  std::uint64_t transaction_ = 0;
};

}  // namespace soak
