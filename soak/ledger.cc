#include "soak/ledger.h"

#include <iostream>
#include <set>

namespace soak {

void Ledger::Violate(const std::string& rule, const std::string& text) {
  constexpr std::size_t kPrinted = 20;
  ++violations_;
  cluster_.record.Line("VIOLATION " + rule + ": " + text);
  if (++of_rules_[rule] > kPrinted) return;
  std::cout << cluster_.record.now().count() << " ms " << rule << ": " << text
            << std::endl;
}

void Ledger::Acknowledge(const std::string& service,
                         const std::vector<std::string>& writes,
                         const std::string& receipt) {
  lab::Group& group = *cluster_.FindGroup(service);
  const lab::Server* primary = NewestPrimary(group);
  for (const auto& write : writes) {
    ++acknowledged_;
    if (primary == nullptr || HoldsRecent(*primary, write)) {
      commits_[service][write] = {cluster_.record.now(), receipt};
      continue;
    }
    std::string text = last_promotion_[service];
    text += "; its log lacks a commit acknowledged afterwards: ";
    text += write;
    text += " receipt " + receipt;
    text += Holders(group, write);
    Violate("LOST", text);
  }
}

void Ledger::OnOrder(const Order& order) {
  const auto [it, added] = holders_.try_emplace(order.fence, order.holder);
  if (added || it->second == order.holder) return;
  Violate("ONE", it->second + " and " + order.holder + " used fence " +
                     std::to_string(order.fence));
}

void Ledger::OnPromotion(const Order& order, const lab::Server& server) {
  ++promotions_;
  if (order.late) ++late_;
  const std::string event =
      "promotion of " + order.server + " (" + order.service + " term " +
      std::to_string(cluster_.FindGroup(order.service)->newest_term() + 1) +
      ") took effect at " + std::to_string(cluster_.record.now().count()) +
      " ms, called at " + std::to_string(order.called_at.count()) + " ms by " +
      order.holder + " fence " + std::to_string(order.fence) +
      (order.late ? " (late)" : "");
  cluster_.record.Line(event);
  last_promotion_[order.service] = event;
  Check(*cluster_.FindGroup(order.service), server, event);
}

void Ledger::CheckPrimaries() {
  for (const lab::Group& group : cluster_.groups) {
    const lab::Server* primary = NewestPrimary(group);
    if (primary == nullptr) continue;
    Check(group, *primary, "end of the run, primary " + primary->id());
  }
}

void Ledger::Check(const lab::Group& group, const lab::Server& server,
                   const std::string& event) {
  std::set<std::string> held;
  for (const auto& entry : server.log()) {
    for (const auto& it : entry.writes) held.insert(it.statement);
  }
  auto& commits = commits_[group.service()];
  for (auto it = commits.begin(); it != commits.end();) {
    if (held.contains(it->first)) {
      ++it;
      continue;
    }
    Violate("LOST", event + "; its log lacks " + it->first +
                        " acknowledged at " +
                        std::to_string(it->second.acknowledged_at.count()) +
                        " ms, receipt " + it->second.receipt +
                        Holders(group, it->first));
    it = commits.erase(it);
  }
}

std::string Ledger::Holders(const lab::Group& group, const std::string& write) {
  std::string text = ", held by";
  for (const auto& it : group.servers()) {
    if (!it->Holds(write)) continue;
    text += " " + it->id() + (it->alive() ? "" : " (down)") +
            (it->primary() ? " (primary)" : "");
  }
  return text;
}

}  // namespace soak
