#include "soak/caller.h"

#include <utility>

namespace soak {

asio::awaitable<lab::Reply> Caller::Ask(std::string text) {
  if (audit_ == nullptr) co_return co_await client_.Query(std::move(text));
  const std::string verb = SplitFields(text, 2)[0];
  if (verb == "BEGIN") transaction_ = audit_->NewTransaction();
  // The client draws the id when it sends the statement, before this runs.
  asio::post(cluster_.io,
             [this, statement = Statement{name_, service_, text, values_,
                                          prepared_, transaction_}] {
               audit_->OnSent(client_.last_id(), statement);
             });
  lab::Reply reply = co_await client_.Query(text);
  audit_->OnReceived(client_.last_id(), reply);
  if (reply.ok()) OnAcknowledged(text);
  if (reply.state == "I") transaction_ = 0;
  co_return reply;
}

void Caller::OnAcknowledged(const std::string& text) {
  const auto fields = SplitFields(text, 3);
  if (fields[0] == "SET") values_[fields.at(1)] = fields.at(2);
  if (fields[0] == "PREPARE") prepared_[fields.at(1)] = fields.at(2);
  if (fields[0] == "FORGET") prepared_.erase(fields.at(1));
}

}  // namespace soak
