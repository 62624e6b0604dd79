/// \file
/// Lines of another instance: what is accepted reaches a server as it was.
#include <cstddef>
#include <cstdint>

#include "fuzz/check.h"
#include "platform/wire.h"

namespace corianderdock::fuzz {

namespace {

using platform::PeerMessage;

void CheckLine(const std::string& line) {
  const PeerMessage message = platform::ParsePeerMessage(line);
  if (message.type == PeerMessage::Type::kUnknown) return;
  std::string out;
  if (message.type == PeerMessage::Type::kStart) {
    platform::AppendStart(out, message.service, message.instance,
                          message.server);
  } else {
    platform::AppendCommand(out, message.command);
  }
  Check(out == line + "\r\n", "the line of an instance unchanged");
}

}  // namespace

}  // namespace corianderdock::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  for (const auto& line : corianderdock::fuzz::Lines(input)) {
    corianderdock::fuzz::CheckLine(line);
  }
  return 0;
}
