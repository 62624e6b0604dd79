#include "corianderdock/memory_budget.h"

#include <sys/resource.h>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace corianderdock {

namespace {

/// Share of the memory limit for bytes held for others. The rest is for the
/// program, the state of sessions, and copies while a statement is processed.
constexpr std::size_t kBudgetDivisor = 2;
constexpr std::size_t kReservedDivisor = 4;
constexpr std::size_t kConnectionDivisor = 16;
/// A statement of the largest size with its copies, or a message of 4 MiB
/// between instances.
constexpr std::size_t kMinConnectionBytes = std::size_t{6} << 20;
constexpr std::size_t kMaxConnectionBytes = std::size_t{16} << 20;
/// Memory of an idle session, with some to spare, and the share of the limit
/// that idle sessions may use.
constexpr std::size_t kIdleSessionBytes = std::size_t{16} << 10;
constexpr std::size_t kIdleDivisor = 4;
constexpr std::size_t kMinReservedDescriptors = 48;
constexpr std::size_t kMaxReservedDescriptors = 96;
/// Listening sockets, the store's connections, log and event descriptors.
constexpr std::size_t kFixedDescriptors = 32;
/// Smaller answers of servers are read at once.
constexpr std::size_t kLargeAnswerBytes = std::size_t{64} << 10;
/// The longest row while it is received and copied.
constexpr std::size_t kAnswerRoomBytes = std::size_t{2} << 20;
/// Used when the system sets no limit.
constexpr std::uint64_t kUnlimitedDescriptors = 1 << 20;
/// HTTP connections are few where only probes use them.
constexpr std::size_t kMinHttpConnections = 16;

}  // namespace

BudgetLimits DeriveLimits(std::uint64_t memory_bytes,
                          std::uint64_t max_descriptors) {
  BudgetLimits out;
  out.total_bytes = memory_bytes / kBudgetDivisor;
  out.reserved_bytes = out.total_bytes / kReservedDivisor;
  out.connection_bytes = std::clamp(out.total_bytes / kConnectionDivisor,
                                    kMinConnectionBytes, kMaxConnectionBytes);
  out.max_descriptors = max_descriptors;
  out.reserved_descriptors =
      std::min(std::clamp(out.max_descriptors / 4, kMinReservedDescriptors,
                          kMaxReservedDescriptors),
               out.max_descriptors / 2);
  out.max_connections = memory_bytes / kIdleDivisor / kIdleSessionBytes;
  return out;
}

std::uint64_t AllowedDescriptors() {
  rlimit allowed{};
  if (::getrlimit(RLIMIT_NOFILE, &allowed) != 0) return kUnlimitedDescriptors;
  return std::min<std::uint64_t>(allowed.rlim_cur, kUnlimitedDescriptors);
}

std::size_t MemoryBudget::BytesFor(PeerKind kind) const {
  switch (kind) {
    case PeerKind::kClient:
    case PeerKind::kHttp:
      return limits_.total_bytes - limits_.reserved_bytes;
    case PeerKind::kInstance:
      return limits_.total_bytes / 2;
    case PeerKind::kServer:
      break;
  }
  return limits_.total_bytes;
}

bool MemoryBudget::HasRoom(PeerKind kind, std::size_t descriptors) const {
  std::size_t used = 0;
  std::size_t accepted = 0;
  for (std::size_t n = 0; n < kPeerKinds; ++n) {
    if (n == static_cast<std::size_t>(PeerKind::kServer)) continue;
    used += kinds_[n].descriptors;
    accepted += kinds_[n].connections;
  }
  const std::size_t servers =
      kinds_[static_cast<std::size_t>(PeerKind::kServer)].descriptors;
  const std::size_t kept =
      std::max(limits_.reserved_descriptors, servers + kFixedDescriptors);
  if (used + descriptors + kept > limits_.max_descriptors) return false;
  if (accepted >= limits_.max_connections) return false;
  // Instances can't keep clients out.
  const std::size_t share = kind == PeerKind::kInstance
                                ? limits_.max_descriptors / 4 * 3
                                : limits_.max_descriptors;
  return kinds_[static_cast<std::size_t>(kind)].descriptors + descriptors <=
         std::max(share, kMinHttpConnections);
}

MemoryBudget::Admission MemoryBudget::Open(PeerKind kind,
                                           std::size_t descriptors) {
  Admission out;
  if (kind != PeerKind::kServer && !HasRoom(kind, descriptors)) {
    if (not_started_.empty()) return out;
    out.close = *not_started_.begin();
    Remove(*out.close);
    if (!HasRoom(kind, descriptors)) return out;
  }
  const AccountId id = next_id_++;
  accounts_[id] = {kind, descriptors, 0, 0, ++serial_};
  if (kind != PeerKind::kServer) not_started_.insert(id);
  SumOf(kind).connections += 1;
  SumOf(kind).descriptors += descriptors;
  out.id = id;
  return out;
}

void MemoryBudget::SetStarted(AccountId id, bool started) {
  if (!accounts_.contains(id)) return;
  if (started) {
    not_started_.erase(id);
  } else {
    not_started_.insert(id);
  }
}

MemoryBudget::Decision MemoryBudget::Set(AccountId id, std::size_t idle,
                                         std::size_t work) {
  Decision out;
  const auto it = accounts_.find(id);
  if (it == accounts_.end()) return out;
  Account& account = it->second;
  Sum& sum = SumOf(account.kind);
  sum.bytes = sum.bytes - account.bytes() + idle + work;
  bytes_ = bytes_ - account.bytes() + idle + work;
  account.idle = idle;
  account.work = work;
  account.changed = ++serial_;
  out.pause = account.kind == PeerKind::kServer
                  ? PausesServer(id, account)
                  : account.bytes() > limits_.connection_bytes;
  if (account.kind == PeerKind::kServer) out.resume = ResumeServers();
  while (const auto victim = Victim()) {
    Remove(*victim);
    out.close.push_back(*victim);
  }
  return out;
}

/// Returns the connection to close next; none while the budget is kept.
std::optional<MemoryBudget::AccountId> MemoryBudget::Victim() const {
  std::array<bool, kPeerKinds> eligible{};
  bool exceeded = false;
  for (std::size_t n = 0; n < kPeerKinds; ++n) {
    eligible[n] = kinds_[n].bytes > BytesFor(static_cast<PeerKind>(n));
    exceeded = exceeded || eligible[n];
  }
  const std::size_t shared = bytes(PeerKind::kClient) + bytes(PeerKind::kHttp);
  if (!exceeded && shared > BytesFor(PeerKind::kClient)) {
    eligible[static_cast<std::size_t>(PeerKind::kClient)] = true;
    eligible[static_cast<std::size_t>(PeerKind::kHttp)] = true;
    exceeded = true;
  }
  if (!exceeded) {
    if (bytes_ <= limits_.total_bytes) return std::nullopt;
    eligible.fill(true);
    eligible[static_cast<std::size_t>(PeerKind::kServer)] = false;
  }
  std::optional<AccountId> out;
  std::tuple<int, int, std::uint64_t> highest;
  for (const auto& [id, it] : accounts_) {
    if (!eligible[static_cast<std::size_t>(it.kind)] || it.bytes() == 0) {
      continue;
    }
    const std::tuple<int, int, std::uint64_t> rank{
        std::bit_width(it.idle), std::bit_width(it.work), ~it.changed};
    if (!out || rank > highest) {
      out = id;
      highest = rank;
    }
  }
  return out;
}

/// Room for answers of servers: the reserved part, and what others don't use.
std::size_t MemoryBudget::AnswerBytes() const {
  const std::size_t others = bytes_ - bytes(PeerKind::kServer);
  const std::size_t rest =
      limits_.total_bytes - std::min(limits_.total_bytes, others);
  return std::max(limits_.reserved_bytes, rest);
}

/// Whether an answer has to wait until others are complete. The oldest one is
/// always read, so that there is progress.
bool MemoryBudget::PausesServer(AccountId id, const Account& account) {
  const auto at = std::find(large_answers_.begin(), large_answers_.end(), id);
  if (account.bytes() < kLargeAnswerBytes) {
    if (at != large_answers_.end()) large_answers_.erase(at);
    paused_servers_.erase(id);
    return false;
  }
  if (at == large_answers_.end()) large_answers_.push_back(id);
  const bool pause =
      large_answers_.front() != id &&
      bytes(PeerKind::kServer) + kAnswerRoomBytes > AnswerBytes();
  if (pause) {
    paused_servers_.insert(id);
  } else {
    paused_servers_.erase(id);
  }
  return pause;
}

/// Returns the paused answers that fit, oldest first.
std::vector<MemoryBudget::AccountId> MemoryBudget::ResumeServers() {
  std::vector<AccountId> out;
  std::size_t used = bytes(PeerKind::kServer);
  for (const AccountId id : large_answers_) {
    if (!paused_servers_.contains(id)) continue;
    used += kAnswerRoomBytes;
    if (id != large_answers_.front() && used > AnswerBytes()) break;
    out.push_back(id);
  }
  for (const AccountId id : out) paused_servers_.erase(id);
  return out;
}

std::vector<MemoryBudget::AccountId> MemoryBudget::Close(AccountId id) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end()) return {};
  const bool server = it->second.kind == PeerKind::kServer;
  Remove(id);
  return server ? ResumeServers() : std::vector<AccountId>();
}

void MemoryBudget::Remove(AccountId id) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end()) return;
  Sum& sum = SumOf(it->second.kind);
  sum.bytes -= it->second.bytes();
  sum.connections -= 1;
  sum.descriptors -= it->second.descriptors;
  bytes_ -= it->second.bytes();
  not_started_.erase(id);
  std::erase(large_answers_, id);
  paused_servers_.erase(id);
  accounts_.erase(it);
}

std::vector<MemoryBudget::Usage> MemoryBudget::Largest(std::size_t n) const {
  std::vector<Usage> out;
  for (const auto& [id, it] : accounts_) {
    if (it.bytes() > 0) out.push_back({id, it.kind, it.bytes()});
  }
  const std::size_t kept = std::min(n, out.size());
  std::partial_sort(
      out.begin(), out.begin() + static_cast<std::ptrdiff_t>(kept), out.end(),
      [](const Usage& a, const Usage& b) { return a.bytes > b.bytes; });
  out.resize(kept);
  return out;
}

}  // namespace corianderdock
