/// \file
/// Handling of client requests at the entry instance: routing, retries and
/// outcomes.
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

/// Routes each client request to the scheduler of a suitable server and sends
/// exactly one answer, retrying within the request's deadline and a retry
/// budget. Confined to the control thread.
class ClientCalls {
 public:
  /// \pre All references outlive this object.
  ClientCalls(detail::Context& context, const Directory& directory,
              const Configuration& configuration, GroupMonitor& monitor,
              WorkScheduler& scheduler);

  void OnRequest(const ClientRequest& event);
  void OnClientDisconnected(CallId call);
  void OnForwardResult(const ForwardResult& event);
  void OnTimer(const detail::Timer& timer);

  /// Sets whether new requests are accepted; otherwise they are refused with
  /// `kNotReady`.
  void SetReady(bool ready) { ready_ = ready; }

  /// Number of requests that have not been answered.
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
    std::uint64_t attempt = 0;  ///< incremented per attempt and per retry delay
    bool waiting_for_retry = false;    ///< no attempt in flight
    bool in_doubt = false;             ///< an earlier attempt may have run
    bool client_disconnected = false;  ///< no reply is sent
    Reason last_reason = Reason::kNone;
    std::optional<Duration> retry_after;
    ServerId target;
    std::set<ServerId> excluded;  ///< servers that could not serve this read
  };

  /// State of a server as reported in its latest answers.
  struct ServerHint {
    Duration wait{0};
    TimePoint reported_at;
    TimePoint stale_until;
  };

  /// Returns the refusal of a request that cannot be accepted.
  [[nodiscard]] std::optional<Answer> CheckAdmission(const Request& request);
  void Route(CallId id, Call& call);
  [[nodiscard]] ServerId ChooseTarget(Call& call);
  [[nodiscard]] ServerId ChooseForRead(Call& call);
  [[nodiscard]] InstanceId OwnerOfTransaction(const TransactionId& id) const;
  void Send(CallId id, Call& call, const ServerId& server,
            const InstanceId& instance);
  void OnAnswer(CallId id, std::uint64_t attempt, RoutedAnswer answer);
  /// Whether the data exceeded the staleness bound after the scheduler had
  /// verified it.
  [[nodiscard]] bool AgedInTransit(const Call& call,
                                   const RoutedAnswer& answer) const;
  /// Handles an attempt whose answer will not arrive.
  void OnAttemptLost(CallId id, Call& call, bool may_have_run);
  void RetryLater(CallId id, Call& call, Duration pause);
  /// Takes one token from the retry budget. Returns false when it is used up.
  bool TakeRetryToken();
  void Reply(CallId id, Answer answer);
  void ReplyRefused(CallId id, const Call& call, Reason reason,
                    const std::string& detail);
  void ReplyFinal(CallId id, Call& call, Answer answer);
  void CountReply(const Answer& answer);

  detail::Context& context_;
  const Directory& directory_;
  const Configuration& configuration_;
  GroupMonitor& monitor_;
  WorkScheduler& scheduler_;
  std::map<CallId, Call> calls_;
  std::map<ServerId, ServerHint> hints_;
  double retry_tokens_ = 0;  ///< token bucket that limits retries
  bool ready_ = false;
};

}  // namespace corianderdock
