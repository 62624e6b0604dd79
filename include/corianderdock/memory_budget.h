/// \file
/// Budget of the memory and descriptors that a process holds for others.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace corianderdock {

/// Who is at the other end of a connection.
enum class PeerKind {
  kClient,
  kInstance,  ///< another instance: shared and relayed connections
  kHttp,      ///< probes, metrics, and clients of JSON-RPC
  kServer,    ///< a backend server, to which this process connects
};
inline constexpr std::size_t kPeerKinds = 4;

/// Limits of one process.
struct BudgetLimits {
  std::size_t total_bytes = std::size_t{256} << 20;
  /// Part of the total that clients and HTTP connections can't use.
  std::size_t reserved_bytes = std::size_t{64} << 20;
  /// Bytes held for one connection from which it is not read any more.
  std::size_t connection_bytes = std::size_t{16} << 20;
  std::size_t max_descriptors = 1024;
  /// Descriptors that accepted connections can't use: for servers, the store,
  /// listening sockets and log files.
  std::size_t reserved_descriptors = 96;
  /// Accepted connections that the memory of idle ones allows.
  std::size_t max_connections = 8192;
};

/// Limits for a process with this memory and these descriptors.
/// \pre Neither is 0.
[[nodiscard]] BudgetLimits DeriveLimits(std::uint64_t memory_bytes,
                                        std::uint64_t max_descriptors);

/// Descriptors that the system allows this process.
[[nodiscard]] std::uint64_t AllowedDescriptors();

/// Accounts of connections, by id. Decides which connections are admitted, from
/// which ones reading stops, and which ones are closed when the budget is
/// exceeded. Not thread-safe.
///
/// \code
/// MemoryBudget budget(DeriveLimits(512 << 20, 4096));
/// const auto admission = budget.Open(PeerKind::kClient, 1);
/// if (admission.id) victims = budget.Set(*admission.id, held, waiting).close;
/// \endcode
class MemoryBudget {
 public:
  using AccountId = std::uint64_t;

  struct Admission {
    std::optional<AccountId> id;  ///< absent: the connection is refused
    /// A connection that must be closed to make room; its account is closed.
    std::optional<AccountId> close;
  };

  struct Decision {
    bool pause = false;  ///< don't read from this connection
    /// Connections to close; they no longer count.
    std::vector<AccountId> close;
    /// Paused connections to servers that may be read again.
    std::vector<AccountId> resume;
  };

  struct Usage {
    AccountId id = 0;
    PeerKind kind = PeerKind::kClient;
    std::size_t bytes = 0;
  };

  explicit MemoryBudget(const BudgetLimits& limits) : limits_(limits) {}

  /// New limits apply to what happens next.
  void SetLimits(const BudgetLimits& limits) { limits_ = limits; }

  /// Opens the account of a new connection with this number of descriptors.
  /// Without room, the oldest connection whose first message has not arrived
  /// makes way. A connection to a server is always admitted.
  [[nodiscard]] Admission Open(PeerKind kind, std::size_t descriptors);

  /// The first message has arrived (true), or the next one is awaited on a
  /// connection that may be closed meanwhile (false).
  void SetStarted(AccountId id, bool started);

  /// Sets the bytes held: `idle` ones are received in part or not sent yet,
  /// those in `work` belong to a statement that is being processed. If the
  /// budget is exceeded, connections with the most idle bytes are closed first;
  /// among those of similar size, the one without a change for longest. Servers
  /// are never closed: the reserved part limits how many large answers are read
  /// at a time, in the order in which they began.
  [[nodiscard]] Decision Set(AccountId id, std::size_t idle, std::size_t work);

  /// Closes an account; does nothing if it is closed already. Returns
  /// connections to servers that may be read again.
  std::vector<AccountId> Close(AccountId id);

  [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }
  [[nodiscard]] std::size_t bytes(PeerKind kind) const noexcept {
    return kinds_[static_cast<std::size_t>(kind)].bytes;
  }
  [[nodiscard]] std::size_t connections(PeerKind kind) const noexcept {
    return kinds_[static_cast<std::size_t>(kind)].connections;
  }
  [[nodiscard]] const BudgetLimits& limits() const noexcept { return limits_; }

  /// The accounts with the most bytes, largest first.
  [[nodiscard]] std::vector<Usage> Largest(std::size_t n) const;

 private:
  struct Account {
    PeerKind kind = PeerKind::kClient;
    std::size_t descriptors = 1;
    std::size_t idle = 0;
    std::size_t work = 0;
    std::uint64_t changed = 0;  ///< serial number of the last change
    [[nodiscard]] std::size_t bytes() const { return idle + work; }
  };

  struct Sum {
    std::size_t bytes = 0;
    std::size_t connections = 0;
    std::size_t descriptors = 0;
  };

  [[nodiscard]] Sum& SumOf(PeerKind kind) {
    return kinds_[static_cast<std::size_t>(kind)];
  }
  [[nodiscard]] std::size_t BytesFor(PeerKind kind) const;
  [[nodiscard]] bool HasRoom(PeerKind kind, std::size_t descriptors) const;
  [[nodiscard]] std::optional<AccountId> Victim() const;
  [[nodiscard]] std::size_t AnswerBytes() const;
  [[nodiscard]] bool PausesServer(AccountId id, const Account& account);
  [[nodiscard]] std::vector<AccountId> ResumeServers();
  void Remove(AccountId id);

  BudgetLimits limits_;
  std::map<AccountId, Account> accounts_;
  std::set<AccountId> not_started_;
  std::vector<AccountId> large_answers_;  ///< in the order of their beginning
  std::set<AccountId> paused_servers_;
  std::array<Sum, kPeerKinds> kinds_;
  std::size_t bytes_ = 0;
  AccountId next_id_ = 1;
  std::uint64_t serial_ = 0;
};

}  // namespace corianderdock
