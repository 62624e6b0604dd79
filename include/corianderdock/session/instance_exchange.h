/// \file
/// Decides what an instance reads from the store itself and what it asks other
/// instances for.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "corianderdock/session/config_freshness.h"
#include "corianderdock/session/events.h"
#include "corianderdock/session/instance_messages.h"
#include "corianderdock/session/model.h"
#include "corianderdock/session/options.h"
#include "corianderdock/session/peer_clock.h"
#include "corianderdock/session/store_follower.h"

namespace corianderdock::session {

/// Intervals and limits of `InstanceExchange`.
struct InstanceExchangeOptions {
  /// See `ProxyOptions::revoke_bound`.
  Duration revoke_bound{0};
  double processor_share = 1;  ///< cores of this instance
  /// Of questions about the configuration. With reads each second, evidence is
  /// renewed well before it has half of the smallest usual bound.
  Duration ask_interval = std::chrono::milliseconds(600);
  /// Of questions of a small instance about everything. A larger one reads its
  /// lists each second, so that the last word never gets as old as
  /// `max_silence`.
  Duration follow_interval = std::chrono::milliseconds(350);
  /// Time after which the next instance is asked.
  Duration answer_timeout = std::chrono::milliseconds(150);
  /// Age of told evidence from which the next instance is asked.
  Duration max_told_age = std::chrono::milliseconds(1500);
  /// Interval of questions to an instance that did not help before.
  Duration suspect_interval = std::chrono::milliseconds(2000);
  /// Age of the last contact of a followed instance with the store at which a
  /// small instance reads everything itself.
  Duration max_silence = std::chrono::milliseconds(1500);
  /// Watches of a followed instance, so that what it may miss and the silence
  /// after its end together stay below 5 s.
  Duration followed_watch_wait = std::chrono::milliseconds(3000);
  /// Time since the start in which an instance reads everything itself, so that
  /// it knows which servers renew their entries.
  Duration settle_time = std::chrono::milliseconds(5000);
  /// Pause between reads that this class asks for.
  Duration read_pause = std::chrono::milliseconds(1000);
};

/// Exchanges with other instances what they know of the store.
///
/// Where keys can be revoked, one instance per zone reads the configuration and
/// the others ask it for evidence. Small instances learn the configuration and
/// the lists from larger ones of their zone. Everywhere else this class sends
/// nothing and changes no duty. What others tell only ever replaces an older
/// configuration. Performs no I/O. Not thread-safe; times must not decrease.
class InstanceExchange {
 public:
  /// Asks for one read of the configuration.
  struct ReadConfig {};
  using Output =
      std::variant<SendMessage, Event, StoreDuties, ReadConfig, LogDecision>;
  using Outputs = std::vector<Output>;
  /// Decodes a document; returns null if it can't be used.
  using ConfigDecoder = std::function<std::shared_ptr<const RoutingConfig>(
      const std::string& document)>;

  InstanceExchange(ProxyIdentity self, InstanceExchangeOptions options,
                   ConfigDecoder decoder);

  /// Notes what this instance read from the store itself.
  [[nodiscard]] Outputs OnStoreEvent(TimePoint now, const Event& event);

  /// Handles a message of the topic `kFreshness`; others are ignored.
  [[nodiscard]] Outputs OnMessage(TimePoint now,
                                  const MessageReceived& message);

  [[nodiscard]] Outputs OnTimer(TimePoint now);

  /// Returns when `OnTimer` is due, if ever.
  [[nodiscard]] std::optional<TimePoint> NextTimer() const;

 private:
  struct Peer {
    PeerClock clock;
    int misses = 0;          ///< consecutive questions without a timely answer
    bool suspected = false;  ///< it did not help when it was last asked
    TimePoint probe_at;      ///< when a suspected one is asked again
  };

  struct Question {
    InstanceId to;
    TimePoint asked_at;
  };

  // Roles.
  [[nodiscard]] bool KeysMatter() const;
  [[nodiscard]] bool IsSmall(const InstanceEntry& entry) const;
  [[nodiscard]] std::vector<InstanceId> ReaderOrder(const ZoneId& zone) const;
  [[nodiscard]] bool IsReader() const;
  [[nodiscard]] std::vector<InstanceId> Candidates() const;
  [[nodiscard]] bool IsSuspected(const InstanceId& id) const;
  void SetInstances(const InstanceList& instances);
  void UpdateDuties();

  // Evidence of the configuration.
  void AskForEvidence();
  void AskNext();
  void Suspect(const InstanceId& id);
  void NoteMiss(const InstanceId& id);
  void ReadIfOld();
  void RequestRead();
  void Adopt(const std::shared_ptr<const RoutingConfig>& config);
  void OnEvidence(const InstanceId& from, const Question& question,
                  const FreshnessAnswer& answer);
  [[nodiscard]] bool NoteAnswer(const Question& question,
                                const FreshnessAnswer& answer);

  // Lists.
  void AskLeader();
  void OnLists(const InstanceId& from, const Question& question,
               const FreshnessAnswer& answer);
  void ReportLists(TimePoint as_of, bool changed);
  void StopFollowing();

  void Ask(const InstanceId& to, std::optional<std::string> lists = {});
  void Answer(const InstanceId& to, const FreshnessQuestion& question);
  void Tick();

  ProxyIdentity self_;
  InstanceExchangeOptions options_;
  ConfigDecoder decoder_;
  TimePoint now_;
  Outputs outputs_;
  std::optional<TimePoint> started_at_;
  std::shared_ptr<const RoutingConfig> config_;
  ConfigFreshness freshness_;
  InstanceList instances_;
  std::map<InstanceId, Peer> peers_;
  std::map<std::uint64_t, Question> questions_;
  std::uint64_t next_number_ = 1;
  StoreDuties duties_;
  TimePoint next_tick_;
  int ticks_ = 0;
  std::optional<TimePoint> read_requested_at_;
  std::vector<InstanceId> round_;  ///< still to be asked, the asked one first
  std::optional<TimePoint> round_due_;  ///< when the next one is asked
  // Lists that this instance read itself.
  ListedState lists_;
  std::uint64_t lists_changes_ = 0;
  std::optional<TimePoint> listed_at_;
  bool was_complete_ = false;
  // Lists that a larger instance told.
  std::vector<InstanceId> leaders_;  ///< empty unless this instance is small
  bool leads_ = false;               ///< small instances may follow this one
  InstanceId leader_;
  int leader_misses_ = 0;  ///< questions since its last answer
  std::string told_stamp_;
  ListedState told_;
  std::optional<TimePoint>
      told_as_of_;  ///< the leader's contact with the store
  TimePoint reported_as_of_;
  bool following_ = false;
};

}  // namespace corianderdock::session
