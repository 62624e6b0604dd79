/// \file
/// Messages of the topic `kFreshness` as JSON text of one line.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "corianderdock/session/model.h"

namespace corianderdock::session {

/// Lists as an instance read them from the store.
struct ListedState {
  ServerList servers;
  bool complete = false;       ///< every live server is listed
  std::set<ServerId> renewed;  ///< written again since they were first read
  InstanceList instances;

  bool operator==(const ListedState&) const = default;
};

/// Asks an instance what it knows of the configuration, and of the lists.
struct FreshnessQuestion {
  std::uint64_t number = 0;   ///< returned with the answer
  std::uint64_t version = 0;  ///< known to the one that asks
  /// Stamp of the lists known from the instance that is asked, empty if there
  /// are none; null: the lists aren't asked for.
  std::optional<std::string> lists;
};

/// What an instance knows. Ages are as of its own clock when it answered.
struct FreshnessAnswer {
  std::uint64_t number = 0;
  std::uint64_t version = 0;            ///< newest known configuration
  std::optional<Duration> age;          ///< of the evidence for `version`
  std::optional<Duration> contact_age;  ///< since it last read a list
  Duration clock{0};                    ///< its clock, since some start
  std::optional<std::string> document;  ///< if the asker's version is older
  std::string lists_stamp;              ///< of its lists; empty: not asked
  std::optional<ListedState> lists;     ///< unless the asker knows the stamp
};

[[nodiscard]] std::string Encode(const FreshnessQuestion& question);
[[nodiscard]] std::string Encode(const FreshnessAnswer& answer);

/// Returns `std::monostate` if the text is neither.
[[nodiscard]] std::variant<std::monostate, FreshnessQuestion, FreshnessAnswer>
DecodeFreshnessMessage(std::string_view text);

}  // namespace corianderdock::session
