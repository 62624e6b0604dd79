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
/// A statement of the largest size, its parsed copy, and the command.
constexpr std::size_t kMinConnectionBytes = std::size_t{4} << 20;
constexpr std::size_t kMaxConnectionBytes = std::size_t{16} << 20;
/// Memory of an idle session, with some to spare, and the share of the limit
/// that idle sessions may use.
constexpr std::size_t kIdleSessionBytes = std::size_t{16} << 10;
constexpr std::size_t kIdleDivisor = 4;
constexpr std::size_t kMinReservedDescriptors = 48;
constexpr std::size_t kMaxReservedDescriptors = 96;
/// Listening sockets, the store's connections, log and event descriptors.
constexpr std::size_t kFixedDescriptors = 32;
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
    Close(*out.close);
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
  out.pause = account.bytes() > limits_.connection_bytes;
  while (const auto victim = Victim()) {
    Close(*victim);
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

void MemoryBudget::Close(AccountId id) {
  const auto it = accounts_.find(id);
  if (it == accounts_.end()) return;
  Sum& sum = SumOf(it->second.kind);
  sum.bytes -= it->second.bytes();
  sum.connections -= 1;
  sum.descriptors -= it->second.descriptors;
  bytes_ -= it->second.bytes();
  not_started_.erase(id);
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
