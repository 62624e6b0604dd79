/// \file
/// Encodes the PostgreSQL messages that the stand-in server sends to a client.
#include <cstring>
#include <string>

#include "backend_session.h"
#include "pg_wire.h"

namespace standin {

void BackendSession::Put(char type, const Bytes& body) {
  output_ += type;
  output_ += EncodeInt32(static_cast<std::uint32_t>(body.size() + 4));
  output_ += body;
}

void BackendSession::PutError(const SqlError& error) {
  Bytes body;
  body += "SERROR";
  body += '\0';
  body += "C" + error.code;
  body += '\0';
  body += "M" + error.message;
  body += '\0';
  body += '\0';
  Put('E', body);
}

void BackendSession::PutRowDescription(sqlite3_stmt* statement) {
  constexpr std::uint32_t kInt8Oid = 20;
  constexpr std::uint32_t kTextOid = 25;
  constexpr std::uint16_t kInt8Size = 8;
  constexpr std::uint16_t kVariableSize = 0xffff;
  const int columns = sqlite3_column_count(statement);
  Bytes body = EncodeInt16(static_cast<std::uint16_t>(columns));
  for (int n = 0; n < columns; ++n) {
    const char* type = sqlite3_column_decltype(statement, n);
    const bool integer = type != nullptr && std::strncmp(type, "INT", 3) == 0;
    body += sqlite3_column_name(statement, n);
    body += '\0';
    body += EncodeInt32(0) + EncodeInt16(0) +
            EncodeInt32(integer ? kInt8Oid : kTextOid) +
            EncodeInt16(integer ? kInt8Size : kVariableSize) + EncodeInt32(-1) +
            EncodeInt16(0);
  }
  Put('T', body);
}

void BackendSession::PutDataRow(sqlite3_stmt* statement) {
  const int columns = sqlite3_column_count(statement);
  Bytes body = EncodeInt16(static_cast<std::uint16_t>(columns));
  for (int n = 0; n < columns; ++n) {
    const auto* text =
        reinterpret_cast<const char*>(sqlite3_column_text(statement, n));
    if (text == nullptr) {
      body += EncodeInt32(-1);
      continue;
    }
    const int size = sqlite3_column_bytes(statement, n);
    body += EncodeInt32(static_cast<std::uint32_t>(size));
    body.append(text, static_cast<std::size_t>(size));
  }
  Put('D', body);
}

void BackendSession::PutComplete(sqlite3_stmt* statement, std::uint64_t rows) {
  const std::string word = FirstWord(sqlite3_sql(statement));
  std::string tag = word;
  const auto changed = std::to_string(sqlite3_changes(db_.get()));
  if (word == "SELECT" || word == "VALUES") {
    tag = "SELECT " + std::to_string(rows);
  } else if (word == "INSERT") {
    tag = "INSERT 0 " + changed;
  } else if (word == "UPDATE" || word == "DELETE") {
    tag += " " + changed;
  }
  Put('C', tag + '\0');
}

void BackendSession::PutReady() {
  char state = 'I';
  if (explicit_transaction_) state = transaction_failed_ ? 'E' : 'T';
  Put('Z', Bytes(1, state));
}

}  // namespace standin
