/// \file
/// Stand-in of the platform's promotion call that executes some orders late.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "soak/cluster.h"
#include "soak/ledger.h"

namespace soak {

/// Refuses an order whose token is lower than one seen for its service. The
/// token of a late order is checked when the order is executed.
class Orders {
 public:
  Orders(Cluster& cluster, Ledger& ledger, std::uint64_t seed);

  /// Opens a port for one instance and returns it.
  int Listen(const std::string& instance);
  /// Sets the share of orders that are left unanswered and executed late.
  void SetLateShare(double share) { late_share_ = share; }
  /// Sets the range of the delays of late orders.
  void SetDelays(Ms least, Ms most) {
    min_delay_ = least;
    max_delay_ = most;
  }
  /// Sets the share of late orders that are executed at once.
  void SetLostAnswers(double share) { lost_answers_ = share; }
  /// Cuts an instance off; its orders are lost.
  void Cut(const std::string& instance, bool cut);
  /// Orders that may still take effect.
  [[nodiscard]] int pending() const { return pending_; }

  /// Called for each order that arrives.
  std::function<void(const Order&)> on_order;

 private:
  Task Accept(std::shared_ptr<lab::tcp::acceptor> acceptor,
              std::string instance);
  Task Serve(lab::tcp::socket socket, std::string instance);
  Task ExecuteLate(Order order, Ms delay);
  Task TakeEffect(Order order);
  /// Returns the HTTP status of the answer.
  int Execute(const Order& order);

  Cluster& cluster_;
  Ledger& ledger_;
  Random random_;
  double late_share_ = 0;
  double lost_answers_ = 0.25;
  Ms min_delay_{500};
  Ms max_delay_{11'000};
  int pending_ = 0;
  std::set<std::string> cut_;
  std::map<std::string, std::uint64_t> highest_fence_;  ///< by service
};

}  // namespace soak
