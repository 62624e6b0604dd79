/// \file
/// Lines of a server: a reply consists of exactly the lines since the one
/// before, and reaches a client as it was sent.
#include <cstddef>
#include <cstdint>

#include "fuzz/check.h"
#include "platform/wire.h"

namespace corianderdock::fuzz {

namespace {

using session::ErrorCode;

void CheckLines(const std::vector<std::string>& lines) {
  platform::ReplyParser parser;
  std::string since_reply;
  bool handshake = true;
  for (const auto& line : lines) {
    const auto reply = parser.AddLine(line);
    if (parser.malformed()) {
      Check(!reply, "no reply of a malformed line");
      return;
    }
    since_reply += line + "\r\n";
    if (!reply) continue;
    // An unknown code and an empty text are written in another form.
    const bool same_form =
        reply->error != ErrorCode::kOther &&
        (reply->error == ErrorCode::kNone || !reply->detail.empty());
    std::string out;
    platform::AppendReply(out, *reply, handshake);
    Check(!same_form || out == since_reply, "a reply as it was sent");
    Check(reply->error == ErrorCode::kNone || reply->rows.empty(),
          "no rows of an error");
    since_reply.clear();
    handshake = false;
  }
}

}  // namespace

}  // namespace corianderdock::fuzz

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view input(reinterpret_cast<const char*>(data), size);
  corianderdock::fuzz::CheckLines(corianderdock::fuzz::Lines(input));
  return 0;
}
