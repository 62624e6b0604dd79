#include "group_log.h"

#include <algorithm>
#include <utility>

namespace standin {

bool GroupLog::Fence(std::uint64_t term, const std::string& claimant) {
  if (term < term_ || (term == term_ && claimant != claimant_)) return false;
  if (term == term_) return true;
  term_ = term;
  claimant_ = claimant;
  role_ = Role::kFenced;
  primary_.clear();
  return true;
}

bool GroupLog::Promote(std::uint64_t term, const std::string& claimant) {
  if (term != term_ || claimant != claimant_) return false;
  if (role_ == Role::kPrimary) return true;
  if (role_ != Role::kFenced) return false;
  role_ = Role::kPrimary;
  Append({});
  return true;
}

bool GroupLog::Follow(std::uint64_t term, const std::string& address) {
  if (term < term_) return false;
  if (term == term_ && role_ == Role::kPrimary) return false;
  if (term > term_) claimant_.clear();
  term_ = term;
  role_ = Role::kReplica;
  primary_ = address;
  return true;
}

LogPosition GroupLog::Append(std::vector<std::string> statements) {
  AppendReceived({term_, std::move(statements)});
  return Last();
}

void GroupLog::AppendReceived(LogEntry entry) {
  if (term_starts_.empty() || term_starts_.back().term != entry.term) {
    term_starts_.push_back({entry.term, entries_.size() + 1});
  }
  entries_.push_back(std::move(entry));
}

void GroupLog::Truncate(std::uint64_t index) {
  if (index >= entries_.size()) return;
  entries_.resize(index);
  while (!term_starts_.empty() && term_starts_.back().index > index)
    term_starts_.pop_back();
}

std::uint64_t GroupLog::CommonIndex(const std::vector<TermStart>& starts,
                                    std::uint64_t last) const {
  auto term_at = [&](std::uint64_t index) {
    std::uint64_t term = 0;
    for (const auto& it : starts) {
      if (it.index <= index) term = it.term;
    }
    return term;
  };
  std::uint64_t n = std::min<std::uint64_t>(last, entries_.size());
  while (n > 0 && term_at(n) != TermAt(n)) --n;
  return n;
}

LogPosition GroupLog::Last() const {
  if (entries_.empty()) return {};
  return {entries_.back().term, entries_.size()};
}

std::vector<TermStart> GroupLog::TermStarts() const { return term_starts_; }

std::uint64_t GroupLog::TermAt(std::uint64_t index) const {
  if (index == 0 || index > entries_.size()) return 0;
  return entries_[index - 1].term;
}

const char* RoleName(Role role) {
  switch (role) {
    case Role::kPrimary:
      return "primary";
    case Role::kReplica:
      return "replica";
    case Role::kFenced:
      return "fenced";
  }
  return "fenced";
}

}  // namespace standin
