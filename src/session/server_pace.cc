#include "corianderdock/session/server_pace.h"

#include <algorithm>
#include <cmath>

namespace corianderdock::session {

namespace {

/// Weight of one answer in the pace, at least. With run times whose deviation
/// equals their mean, the pace deviates by 0.28.
constexpr double kPaceGain = 0.15;
/// Where answers are rare, one after this time weighs 0.63, up to a limit.
constexpr double kPaceSeconds = 0.5;
constexpr double kMaxPaceGain = 0.8;
/// Time constant in which a pace is forgotten that no answer confirms, so that
/// a server that was slow is tried again.
constexpr double kForgetSeconds = 1;
/// Paces up to which the limit grows and from which it falls: 1.4 and 3.2
/// deviations above a server that keeps up.
constexpr double kGrowBelow = 1.4;
constexpr double kFallAbove = 1.9;
/// Growth for one answer: four slots are reached with 12 answers, or within a
/// second where answers are rare.
constexpr double kGrowth = 0.25;
constexpr double kGrowthPerSecond = 4;
/// Factors of the limit for a slow answer and for a refusal. A refusal shows
/// that others use the slots; a slow answer only confirms those before it.
constexpr double kSlowFactor = 0.93;
constexpr double kBusyFactor = 0.7;
/// Time constant of the usual times: long against a start of 2 s, so that its
/// answers stand out, and short against a server that became slow for good.
constexpr double kUsualSeconds = 8;
/// The same while answers are faster than usual by more than noise: then the
/// usual time was observed in a slow phase.
constexpr double kFasterSeconds = 1;
constexpr double kFasterPace = 0.6;
/// Share of one answer in the usual time, at least and at most.
constexpr double kMinUsualGain = 0.002;
constexpr double kMaxUsualGain = 0.3;
/// Answers from which the pace is known.
constexpr int kKnownAnswers = 4;
/// Pace that is assumed of a server that reports to be slow.
constexpr double kColdPace = 3;
/// Longest and shortest time counted for an answer, in units of the usual one.
constexpr double kMaxRatio = 10;
constexpr double kMinMs = 0.1;

}  // namespace

void ServerPace::Restart(TimePoint now, int slots, bool cold) {
  slots_ = std::max(1, slots);
  limit_ = 1;
  answers_ = 0;
  cold_ = cold;
  pace_ = cold ? kColdPace : 1;
  answered_ = now;
}

bool ServerPace::Known() const { return answers_ >= kKnownAnswers; }

void ServerPace::OnAnswer(TimePoint now, CommandKind kind, Duration time,
                          double others) {
  const bool shows_pace =
      kind == CommandKind::kRead || kind == CommandKind::kExecute;
  Usual& usual = usual_[static_cast<std::size_t>(kind)];
  const double ms =
      std::max(kMinMs, std::chrono::duration<double, std::milli>(time).count());
  if (usual.ms == 0) usual = {ms, now};
  const double ratio = std::min(ms / usual.ms, kMaxRatio);
  const double seconds =
      std::chrono::duration<double>(now - usual.seen).count();
  const double constant = pace_ < kFasterPace ? kFasterSeconds : kUsualSeconds;
  const double gain = std::clamp(1 - std::exp(-seconds / constant),
                                 kMinUsualGain, kMaxUsualGain);
  usual.ms += gain * (std::min(ms, kMaxRatio * usual.ms) - usual.ms);
  usual.seen = now;
  const double since = std::chrono::duration<double>(now - answered_).count();
  if (shows_pace) {
    // What the server said of itself ends with its first answer.
    if (answers_++ == 0 && cold_) pace_ = ratio;
    pace_ += std::clamp(1 - std::exp(-since / kPaceSeconds), kPaceGain,
                        kMaxPaceGain) *
             (ratio - pace_);
    answered_ = now;
  }
  const double relative = Pace(now) / std::max(1.0, others);
  if (relative <= kGrowBelow) {
    const double growth = std::clamp(kGrowthPerSecond * since, kGrowth, 1.0);
    limit_ = std::min(limit_ + growth, slots_);
  } else if (shows_pace && relative > kFallAbove) {
    limit_ = std::max(limit_ * kSlowFactor, 1.0);
  }
}

double ServerPace::Pace(TimePoint now) const {
  return 1 + (pace_ - 1) * Remembered(now);
}

double ServerPace::Remembered(TimePoint now) const {
  const double age = std::chrono::duration<double>(now - answered_).count();
  return std::exp(-age / kForgetSeconds);
}

void ServerPace::OnBusy() { limit_ = std::max(limit_ * kBusyFactor, 1.0); }

double ServerPace::ExpectedMs(TimePoint now, CommandKind kind,
                              double otherwise) const {
  const double ms = usual_[static_cast<std::size_t>(kind)].ms;
  const double recent = (ms == 0 ? otherwise : ms) * pace_;
  return otherwise + (recent - otherwise) * Remembered(now);
}

}  // namespace corianderdock::session
