/// \file
/// Acknowledged commits, promotions, and the guarantees that were violated.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "soak/cluster.h"

namespace soak {

/// A promotion order as the platform received it.
struct Order {
  Ms called_at{0};
  std::string holder;
  std::uint64_t fence = 0;
  std::string service;
  std::string server;
  bool late = false;  ///< not answered, and executed later
};

class Ledger {
 public:
  explicit Ledger(Cluster& cluster) : cluster_(cluster) {}

  /// Adds the writes of a commit that was acknowledged to a client.
  void Acknowledge(const std::string& service,
                   const std::vector<std::string>& writes,
                   const std::string& receipt);
  /// Checks an order against those of other holders.
  void OnOrder(const Order& order);
  /// Checks the log of a server that is about to be promoted.
  void OnPromotion(const Order& order, const lab::Server& server);
  /// Checks the log of the primary of each service.
  void CheckPrimaries();
  /// Records a violation. Prints it unless many of the rule are printed.
  void Violate(const std::string& rule, const std::string& text);

  [[nodiscard]] std::size_t violations() const { return violations_; }
  [[nodiscard]] std::size_t violations(const std::string& rule) const {
    const auto it = of_rules_.find(rule);
    return it == of_rules_.end() ? 0 : it->second;
  }
  [[nodiscard]] std::size_t acknowledged() const { return acknowledged_; }
  [[nodiscard]] std::size_t promotions() const { return promotions_; }
  [[nodiscard]] std::size_t late_promotions() const { return late_; }

 private:
  struct Commit {
    Ms acknowledged_at{0};
    std::string receipt;  ///< names the server
  };

  void Check(const lab::Group& group, const lab::Server& server,
             const std::string& event);
  [[nodiscard]] static std::string Holders(const lab::Group& group,
                                           const std::string& write);

  Cluster& cluster_;
  /// By service and id of the write. Lost ones are reported once.
  std::map<std::string, std::map<std::string, Commit>> commits_;
  std::map<std::string, std::string> last_promotion_;  ///< by service
  std::map<std::uint64_t, std::string> holders_;       ///< by fence
  std::size_t violations_ = 0;
  std::map<std::string, std::size_t> of_rules_;
  std::size_t acknowledged_ = 0;
  std::size_t promotions_ = 0;
  std::size_t late_ = 0;
};

}  // namespace soak
