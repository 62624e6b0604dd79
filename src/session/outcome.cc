#include "corianderdock/session/outcome.h"

#include <array>

namespace corianderdock::session {

namespace {

constexpr std::size_t kKinds = 6;
constexpr std::size_t kEnds = 4;

using Row = std::array<Verdict, kEnds>;

/// Indexed by `AttemptKind`, then by `AttemptEnd`.
constexpr std::array<Row, kKinds> kTable = {{
    // kNotRun, kFailed, kTimedOut, kLost
    Row{Verdict::kRetry, Verdict::kRetry, Verdict::kRetry, Verdict::kRetry},
    Row{Verdict::kRetry, Verdict::kFailed, Verdict::kTimeout, Verdict::kUnsure},
    Row{Verdict::kRetry, Verdict::kAbort, Verdict::kAbort, Verdict::kAbort},
    Row{Verdict::kAbort, Verdict::kAbort, Verdict::kAbort, Verdict::kAbort},
    Row{Verdict::kAbort, Verdict::kAbort, Verdict::kAbort, Verdict::kAbort},
    Row{Verdict::kAbort, Verdict::kFailed, Verdict::kTimeout, Verdict::kUnsure},
}};

}  // namespace

Verdict DecideVerdict(AttemptKind kind, AttemptEnd end) noexcept {
  return kTable[static_cast<std::size_t>(kind)][static_cast<std::size_t>(end)];
}

const char* NameOf(AttemptEnd end) noexcept {
  constexpr std::array<const char*, 4> kNames = {"not_run", "failed",
                                                 "timed_out", "lost"};
  return kNames[static_cast<std::size_t>(end)];
}

const char* NameOf(Verdict verdict) noexcept {
  constexpr std::array<const char*, 5> kNames = {"retry", "abort", "failed",
                                                 "timeout", "unsure"};
  return kNames[static_cast<std::size_t>(verdict)];
}

const char* NameOf(ErrorCode code) noexcept {
  constexpr std::array<const char*, 15> kNames = {
      "none",      "busy", "aborted",     "behind",         "read_only",
      "misrouted", "full", "no_name",     "failed",         "timeout",
      "unsure",    "bad",  "no_database", "not_authorized", "unreachable"};
  return kNames[static_cast<std::size_t>(code)];
}

AttemptEnd AttemptEndOf(ErrorCode code) noexcept {
  switch (code) {
    case ErrorCode::kFailed:
      return AttemptEnd::kFailed;
    case ErrorCode::kTimeout:
      return AttemptEnd::kTimedOut;
    case ErrorCode::kBusy:
    case ErrorCode::kBehind:
    case ErrorCode::kReadOnly:
    case ErrorCode::kNoStatement:
    case ErrorCode::kMisrouted:
    case ErrorCode::kTooMany:
    case ErrorCode::kAborted:
    case ErrorCode::kBad:
      return AttemptEnd::kNotRun;
    default:
      return AttemptEnd::kLost;
  }
}

}  // namespace corianderdock::session
