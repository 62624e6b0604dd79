/// \file
/// Requests of callers at their entry instance: routing, retries, outcomes.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include "corianderdock/configuration.h"
#include "corianderdock/detail/context.h"
#include "corianderdock/directory.h"
#include "corianderdock/group_monitor.h"
#include "corianderdock/work.h"

namespace corianderdock {

/// Carries each caller's request to the scheduler of a fitting server and back
/// to one answer, retrying within the caller's deadline and a retry budget.
/// Confined to the control thread.
class ClientCalls {
 public:
  /// \pre All references outlive this object.
  ClientCalls(detail::Context& context, const Directory& directory,
              const Configuration& configuration, GroupMonitor& monitor,
              Work& work);

  void OnRequest(const CallerRequest& event);
  void OnGone(CallId call);
  void OnForwardResult(const ForwardResult& event);
  void OnTimer(const detail::Timer& timer);

  /// Refuses new requests from now on when false, for `reason`.
  void SetReady(bool ready) { ready_ = ready; }

  [[nodiscard]] std::size_t size() const noexcept { return calls_.size(); }

 private:
  struct Call {
    Request request;
    GroupId group;
    Mode mode = Mode::kRead;
    Duration max_age{0};
    TimePoint arrived;
    TimePoint deadline;
    TimePoint sent;             ///< start of the current attempt
    std::uint64_t attempt = 0;  ///< counts attempts; 0 before the first
    bool waiting = false;       ///< no attempt in flight
    bool in_doubt = false;      ///< an earlier attempt may have run
    bool answered = false;      ///< caller gone
    Reason last_reason = Reason::kNone;
    std::optional<Duration> retry_after;
    ServerId target;
    std::set<ServerId> tried;  ///< servers that cannot serve this read now
  };

  /// What answers told about a server.
  struct Hint {
    Duration wait{0};
    TimePoint told;
    TimePoint stale_until;
  };

  [[nodiscard]] std::optional<Answer> Check(const Request& request);
  void Route(CallId id, Call& call);
  [[nodiscard]] ServerId ChooseTarget(Call& call);
  [[nodiscard]] ServerId ChooseForRead(Call& call);
  [[nodiscard]] InstanceId OwnerOfTransaction(const TransactionId& id) const;
  void Send(CallId id, Call& call, const ServerId& server,
            const InstanceId& instance);
  void OnAnswer(CallId id, std::uint64_t attempt, RoutedAnswer answer);
  [[nodiscard]] bool AgedInTransit(const Call& call,
                                   const RoutedAnswer& answer) const;
  void OnLost(CallId id, Call& call, bool maybe_ran);
  void RetryLater(CallId id, Call& call, Duration pause);
  bool SpendRetry();
  void Reply(CallId id, Answer answer);
  void ReplyRefused(CallId id, const Call& call, Reason reason,
                    const std::string& detail);
  void ReplyFinal(CallId id, Call& call, Answer answer);
  void CountReply(const Answer& answer);

  detail::Context& context_;
  const Directory& directory_;
  const Configuration& configuration_;
  GroupMonitor& monitor_;
  Work& work_;
  std::map<CallId, Call> calls_;
  std::map<ServerId, Hint> hints_;
  double retry_tokens_ = 0;
  bool ready_ = false;
};

}  // namespace corianderdock
