/// \file
/// Lines of a client: what is accepted reaches a server with the same bytes.
#include <cstddef>
#include <cstdint>

#include "fuzz/check.h"
#include "platform/wire.h"
#include "platform/work_bytes.h"

namespace corianderdock::fuzz {

namespace {

using platform::ClientMessage;

/// All that a session occupies for one statement is released with its reply.
void CheckWork(const ClientMessage& message, const std::string& line) {
  platform::WorkBytes work;
  for (int n = 0; n < 2; ++n) {
    work.Begin(message.statement, line.size());
    Check(work.bytes() >= work.kept_bytes(), "bytes of a statement");
    work.End();
    Check(work.bytes() == work.kept_bytes(), "bytes released");
    Check(work.kept_bytes() <= line.size(), "bytes of one value");
  }
}

void CheckLine(const std::string& line) {
  const ClientMessage message = platform::ParseClientMessage(line);
  switch (message.type) {
    case ClientMessage::Type::kUnknown:
      return;
    case ClientMessage::Type::kBye:
      return Check(line == "BYE", "BYE as it was sent");
    case ClientMessage::Type::kStart:
      return Check(line == "START " + message.database + " " + message.client,
                   "START as it was sent");
    case ClientMessage::Type::kQuery:
      break;
  }
  Check(!message.id.empty() && message.id != "-", "an id of a client");
  CheckWork(message, line);
  if (message.statement.verb == session::Verb::kUnknown) return;
  session::ServerCommand command;
  command.id = message.id;
  command.statement = message.statement;
  std::string out;
  platform::AppendCommand(out, command);
  Check(out == line + "\r\n", "the text of a client unchanged");
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
