#include "corianderdock/session/instance_exchange.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "corianderdock/detail/hash.h"

namespace corianderdock::session {

namespace {

/// An instance with fewer cores follows larger ones.
constexpr double kSmallShare = 0.25;
/// By how much the share of a followed instance is larger at least.
constexpr double kLargerBy = 2;
/// Instances of its own zone, and of others, that an instance asks in turn.
constexpr std::size_t kZoneCandidates = 3;
constexpr std::size_t kOtherZones = 2;
/// Larger instances whose clocks a small one knows.
constexpr std::size_t kKnownLeaders = 2;
/// Each this many rounds all candidates are asked, so that their clocks are
/// known when they are needed.
constexpr int kClockRounds = 4;
/// Consecutive questions without an answer after which an instance counts as
/// lost.
constexpr int kMaxMisses = 2;
/// Answers are used for this long; later ones would be too old.
constexpr Duration kQuestionLifetime = std::chrono::seconds(5);
/// By how much a list is newer at least that was read anew; answers about the
/// same one differ by the time that they took.
constexpr Duration kNextList = std::chrono::milliseconds(500);

/// Weighted rendezvous hashing: the least cost comes first.
double RankCost(const InstanceId& id, double weight, const std::string& key) {
  const std::uint64_t hash = detail::HashPair(id, key);
  constexpr double kRange =
      static_cast<double>(std::numeric_limits<std::uint64_t>::max());
  const double uniform = (static_cast<double>(hash) + 1) / (kRange + 2);
  return -std::log(uniform) / std::max(weight, 1e-3);
}

}  // namespace

InstanceExchange::InstanceExchange(ProxyIdentity self,
                                   InstanceExchangeOptions options,
                                   ConfigDecoder decoder)
    : self_(std::move(self)), options_(options), decoder_(std::move(decoder)) {}

bool InstanceExchange::KeysMatter() const {
  return options_.revoke_bound > Duration(0) && config_ && config_->tenants;
}

/// Whether an instance follows larger ones of its zone, of which there is one.
bool InstanceExchange::IsSmall(const InstanceEntry& entry) const {
  if (entry.processor_share >= kSmallShare) return false;
  return std::any_of(instances_.begin(), instances_.end(), [&](const auto& it) {
    const InstanceEntry& other = it.second;
    return other.zone == entry.zone && !other.share_address.empty() &&
           other.processor_share >= kLargerBy * entry.processor_share;
  });
}

/// The instances of a zone in the order in which they are to read the
/// configuration, which all instances agree on.
std::vector<InstanceId> InstanceExchange::ReaderOrder(
    const ZoneId& zone) const {
  std::vector<std::pair<double, InstanceId>> ranked;
  for (const auto& [id, entry] : instances_) {
    const bool self = id == self_.id;
    const bool listed =
        entry.zone == zone && (self || !entry.share_address.empty());
    if (!listed) continue;
    ranked.emplace_back(
        RankCost(id, entry.processor_share, "configuration/" + zone), id);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<InstanceId> order;
  order.reserve(ranked.size());
  for (auto& [cost, id] : ranked) order.push_back(std::move(id));
  return order;
}

bool InstanceExchange::IsSuspected(const InstanceId& id) const {
  const auto it = peers_.find(id);
  return it != peers_.end() && it->second.suspected;
}

/// Whether no instance before this one helps.
bool InstanceExchange::IsReader() const {
  for (const InstanceId& it : ReaderOrder(self_.zone)) {
    if (it == self_.id) return true;
    if (!IsSuspected(it)) return false;
  }
  return true;
}

std::vector<InstanceId> InstanceExchange::Candidates() const {
  std::vector<InstanceId> candidates;
  for (const InstanceId& it : ReaderOrder(self_.zone)) {
    if (candidates.size() == kZoneCandidates) break;
    if (it != self_.id && !IsSuspected(it)) candidates.push_back(it);
  }
  std::vector<ZoneId> zones;
  for (const auto& [id, entry] : instances_) {
    const bool known =
        entry.zone == self_.zone ||
        std::find(zones.begin(), zones.end(), entry.zone) != zones.end();
    if (!known) zones.push_back(entry.zone);
  }
  if (zones.size() > kOtherZones) zones.resize(kOtherZones);
  for (const ZoneId& zone : zones) {
    const auto order = ReaderOrder(zone);
    const auto it = std::find_if_not(
        order.begin(), order.end(),
        [this](const InstanceId& id) { return IsSuspected(id); });
    if (it != order.end()) candidates.push_back(*it);
  }
  return candidates;
}

void InstanceExchange::SetInstances(const InstanceList& instances) {
  if (instances == instances_) return;
  instances_ = instances;
  std::erase_if(peers_,
                [&](const auto& it) { return !instances_.contains(it.first); });
  const InstanceEntry self{self_.zone, {}, {}, options_.processor_share};
  leaders_.clear();
  leads_ = false;
  const bool small = IsSmall(self);
  for (const auto& [id, entry] : instances_) {
    if (id == self_.id || entry.zone != self_.zone) continue;
    const bool larger =
        entry.processor_share >= kLargerBy * self.processor_share;
    if (small && larger && !entry.share_address.empty() && !IsSmall(entry)) {
      leaders_.push_back(id);
    }
    const bool smaller =
        self.processor_share >= kLargerBy * entry.processor_share;
    leads_ = leads_ || (!small && smaller && IsSmall(entry));
  }
  // Spreads the small instances over the large ones.
  std::sort(leaders_.begin(), leaders_.end(),
            [this](const InstanceId& a, const InstanceId& b) {
              return detail::HashPair(a, self_.id) <
                     detail::HashPair(b, self_.id);
            });
}

void InstanceExchange::UpdateDuties() {
  using Config = StoreDuties::Config;
  StoreDuties duties;
  if (KeysMatter()) {
    duties.config = IsReader() ? Config::kRead : Config::kNone;
  } else if (following_) {
    duties.config = Config::kNone;
  }
  duties.lists = !following_;
  if (leads_) duties.watch_wait = options_.followed_watch_wait;
  if (duties == duties_) return;
  duties_ = duties;
  outputs_.emplace_back(duties);
}

InstanceExchange::Outputs InstanceExchange::OnStoreEvent(TimePoint now,
                                                         const Event& event) {
  now_ = now;
  if (!started_at_) started_at_ = now;
  if (const auto* read = std::get_if<ConfigRead>(&event)) {
    const bool newer = !config_ || read->config->version > config_->version;
    if (newer) Adopt(read->config);
  } else if (const auto* it = std::get_if<ConfigConfirmed>(&event)) {
    if (config_ && it->version <= config_->version) {
      freshness_.Confirm(it->version, it->as_of);
    }
  } else if (const auto* servers = std::get_if<ServersRead>(&event)) {
    listed_at_ = now;
    was_complete_ = was_complete_ || servers->complete;
    ListedState lists{servers->servers, servers->complete, servers->renewed,
                      lists_.instances};
    if (lists != lists_) ++lists_changes_;
    lists_ = std::move(lists);
  } else if (const auto* list = std::get_if<InstancesRead>(&event)) {
    if (list->instances != lists_.instances) ++lists_changes_;
    lists_.instances = list->instances;
    if (!following_) SetInstances(list->instances);
  } else {
    return {};
  }
  UpdateDuties();
  return std::exchange(outputs_, {});
}

void InstanceExchange::Adopt(
    const std::shared_ptr<const RoutingConfig>& config) {
  config_ = config;
  freshness_.NoteVersion(config->version);
}

InstanceExchange::Outputs InstanceExchange::OnMessage(
    TimePoint now, const MessageReceived& message) {
  now_ = now;
  if (message.topic != MessageTopic::kFreshness) return {};
  const auto decoded = DecodeFreshnessMessage(message.body);
  if (const auto* question = std::get_if<FreshnessQuestion>(&decoded)) {
    Answer(message.from, *question);
  }
  if (const auto* answer = std::get_if<FreshnessAnswer>(&decoded)) {
    const auto it = questions_.find(answer->number);
    const bool asked = it != questions_.end() && it->second.to == message.from;
    if (!asked) return {};
    const Question question = it->second;
    questions_.erase(it);
    const bool runs =
        peers_[message.from].clock.Note(question.asked_at, now, answer->clock);
    if (!runs) {
      outputs_.emplace_back(LogDecision{
          "clock of an instance stood still instance=" + message.from});
    }
    OnEvidence(message.from, question, *answer);
    OnLists(message.from, question, *answer);
    UpdateDuties();
  }
  return std::exchange(outputs_, {});
}

void InstanceExchange::Answer(const InstanceId& to,
                              const FreshnessQuestion& question) {
  if (!config_) return;
  FreshnessAnswer answer;
  answer.number = question.number;
  answer.version = config_->version;
  answer.age = freshness_.AgeAt(now_);
  answer.clock = now_.time_since_epoch();
  const bool older = question.version < config_->version;
  if (older && config_->document) answer.document = *config_->document;
  if (question.lists && listed_at_ && !following_) {
    answer.contact_age = now_ - *listed_at_;
    answer.lists_stamp =
        std::to_string(started_at_->time_since_epoch().count()) + "." +
        std::to_string(lists_changes_);
    if (*question.lists != answer.lists_stamp) answer.lists = lists_;
  }
  outputs_.emplace_back(
      SendMessage{to, MessageTopic::kFreshness, Encode(answer)});
}

void InstanceExchange::Ask(const InstanceId& to,
                           std::optional<std::string> lists) {
  FreshnessQuestion question;
  question.number = next_number_++;
  question.version = config_ ? config_->version : 0;
  question.lists = std::move(lists);
  questions_[question.number] = {to, now_};
  outputs_.emplace_back(
      SendMessage{to, MessageTopic::kFreshness, Encode(question)});
}

/// Uses the configuration and the evidence of an answer. Returns whether the
/// evidence is recent.
bool InstanceExchange::NoteAnswer(const Question& question,
                                  const FreshnessAnswer& answer) {
  const bool newer = !config_ || answer.version > config_->version;
  if (newer && answer.version != 0) {
    const auto config = answer.document ? decoder_(*answer.document) : nullptr;
    const bool usable = config && config->version == answer.version;
    if (!usable) {
      RequestRead();
      return false;
    }
    Adopt(config);
    outputs_.emplace_back(Event(ConfigRead{config}));
  }
  const bool proves =
      answer.age && config_ && answer.version == config_->version &&
      peers_[question.to].clock.Covers(answer.clock, *answer.age);
  if (!proves) return false;
  const TimePoint as_of = DateAnswer(question.asked_at, *answer.age);
  freshness_.Confirm(answer.version, as_of);
  outputs_.emplace_back(Event(ConfigConfirmed{answer.version, as_of}));
  return now_ - as_of < options_.max_told_age;
}

void InstanceExchange::OnEvidence(const InstanceId& from,
                                  const Question& question,
                                  const FreshnessAnswer& answer) {
  const bool helps = NoteAnswer(question, answer);
  const bool awaited = round_due_ && round_.front() == from;
  peers_[from].misses = 0;
  if (helps) {
    peers_[from].suspected = false;
    if (awaited) round_due_.reset();
    return;
  }
  if (!awaited) return;
  const bool old = !answer.age || *answer.age >= options_.max_told_age;
  if (old) Suspect(from);
  round_.erase(round_.begin());
  AskNext();
}

/// One answer may be late because of load.
void InstanceExchange::NoteMiss(const InstanceId& id) {
  if (++peers_[id].misses >= kMaxMisses) Suspect(id);
}

void InstanceExchange::Suspect(const InstanceId& id) {
  Peer& peer = peers_[id];
  if (!std::exchange(peer.suspected, true)) {
    peer.probe_at = now_ + options_.suspect_interval;
  }
}

/// Starts a round of questions. It ends with the first recent evidence.
void InstanceExchange::AskForEvidence() {
  for (auto& [id, peer] : peers_) {
    if (!peer.suspected || now_ < peer.probe_at) continue;
    peer.probe_at = now_ + options_.suspect_interval;
    Ask(id);
  }
  const bool lacks = !freshness_.IsYounger(now_, options_.max_told_age);
  round_due_.reset();
  round_ = Candidates();
  if (ticks_ % kClockRounds == 0) {
    for (const InstanceId& it : round_) Ask(it);
  }
  // Evidence of instances that ask this one is older than its own.
  if (!IsReader() || lacks) AskNext();
}

void InstanceExchange::AskNext() {
  round_due_.reset();
  if (round_.empty()) return ReadIfOld();
  Ask(round_.front());
  round_due_ = now_ + options_.answer_timeout;
}

/// Reads the configuration if others haven't helped for too long.
void InstanceExchange::ReadIfOld() {
  if (duties_.config != StoreDuties::Config::kNone || !KeysMatter()) return;
  if (freshness_.IsYounger(now_, options_.revoke_bound / 2)) return;
  RequestRead();
}

void InstanceExchange::RequestRead() {
  const bool recent =
      read_requested_at_ && now_ - *read_requested_at_ < options_.read_pause;
  if (recent) return;
  read_requested_at_ = now_;
  outputs_.emplace_back(ReadConfig{});
}

/// Asks the followed instance, or the next one if that did not answer.
void InstanceExchange::AskLeader() {
  const auto at = std::find(leaders_.begin(), leaders_.end(), leader_);
  if (at == leaders_.end() || leader_misses_ >= kMaxMisses) {
    const auto next = at == leaders_.end() ? at : std::next(at);
    leader_ = next == leaders_.end() ? leaders_.front() : *next;
    told_stamp_.clear();
    leader_misses_ = 0;
  }
  ++leader_misses_;
  Ask(leader_, told_stamp_);
  if (ticks_ % kClockRounds != 0) return;
  for (std::size_t n = 0; n < std::min(leaders_.size(), kKnownLeaders); ++n) {
    if (leaders_[n] != leader_) Ask(leaders_[n]);
  }
}

void InstanceExchange::OnLists(const InstanceId& from, const Question& question,
                               const FreshnessAnswer& answer) {
  const bool told = from == leader_ && !answer.lists_stamp.empty() &&
                    (answer.lists || answer.lists_stamp == told_stamp_);
  if (!told || leaders_.empty()) return;
  leader_misses_ = 0;
  const bool proves =
      answer.contact_age &&
      peers_[from].clock.Covers(answer.clock, *answer.contact_age);
  if (!proves) return;
  const bool changed = answer.lists.has_value();
  if (changed) {
    told_ = *answer.lists;
    told_.instances.try_emplace(
        self_.id, InstanceEntry{self_.zone, {}, {}, options_.processor_share});
    told_stamp_ = answer.lists_stamp;
  }
  const TimePoint as_of = DateAnswer(question.asked_at, *answer.contact_age);
  told_as_of_ = std::max(told_as_of_.value_or(as_of), as_of);
  const bool recent = now_ - as_of < options_.max_silence;
  const bool settled =
      was_complete_ && now_ - *started_at_ >= options_.settle_time;
  if (!recent || !settled) return;
  const bool starts = !std::exchange(following_, true);
  if (starts) {
    outputs_.emplace_back(
        LogDecision{"following an instance instance=" + from});
  }
  ReportLists(as_of, changed || starts);
}

/// Reports lists whenever they were read, as their age matters as well.
void InstanceExchange::ReportLists(TimePoint as_of, bool changed) {
  if (!changed && as_of - reported_as_of_ < kNextList) return;
  reported_as_of_ = as_of;
  outputs_.emplace_back(
      Event(ServersRead{told_.servers, told_.complete, told_.renewed, as_of}));
  if (!changed) return;
  outputs_.emplace_back(Event(InstancesRead{told_.instances}));
  SetInstances(told_.instances);
}

void InstanceExchange::StopFollowing() {
  if (!std::exchange(following_, false)) return;
  outputs_.emplace_back(
      LogDecision{"not following an instance any more instance=" + leader_});
}

void InstanceExchange::Tick() {
  ++ticks_;
  std::erase_if(questions_, [this](const auto& it) {
    return now_ - it.second.asked_at >= kQuestionLifetime;
  });
  if (KeysMatter()) {
    AskForEvidence();
    ReadIfOld();
  }
  if (!leaders_.empty()) AskLeader();
  next_tick_ = now_ + (leaders_.empty() ? options_.ask_interval
                                        : options_.follow_interval);
}

InstanceExchange::Outputs InstanceExchange::OnTimer(TimePoint now) {
  now_ = now;
  const auto silent_at = told_as_of_.value_or(now) + options_.max_silence;
  if (following_ && (leaders_.empty() || now >= silent_at)) StopFollowing();
  if (round_due_ && now >= *round_due_) {
    NoteMiss(round_.front());
    round_.erase(round_.begin());
    AskNext();
  }
  const bool active = KeysMatter() || !leaders_.empty();
  if (active && now >= next_tick_) Tick();
  UpdateDuties();
  return std::exchange(outputs_, {});
}

std::optional<TimePoint> InstanceExchange::NextTimer() const {
  const bool active = KeysMatter() || !leaders_.empty();
  if (!active && !following_) return std::nullopt;
  TimePoint next = next_tick_;
  if (round_due_) next = std::min(next, *round_due_);
  if (following_ && told_as_of_) {
    next = std::min(next, *told_as_of_ + options_.max_silence);
  }
  return next;
}

}  // namespace corianderdock::session
