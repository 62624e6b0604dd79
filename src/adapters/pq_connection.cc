#include "corianderdock/detail/pq_connection.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace corianderdock::detail {

namespace asio = boost::asio;
using Descriptor = asio::posix::stream_descriptor;

namespace {

constexpr Oid kIntegerOids[] = {20, 21, 23};

struct ResultDeleter {
  void operator()(PGresult* it) const { PQclear(it); }
};
using PqResult = std::unique_ptr<PGresult, ResultDeleter>;

bool IsInteger(Oid oid) {
  for (const Oid it : kIntegerOids) {
    if (it == oid) return true;
  }
  return false;
}

ResultSet ToResultSet(PGresult* in) {
  ResultSet out;
  const int columns = PQnfields(in);
  for (int n = 0; n < columns; ++n) {
    out.columns.emplace_back(PQfname(in, n));
    out.numeric.push_back(IsInteger(PQftype(in, n)));
  }
  for (int row = 0; row < PQntuples(in); ++row) {
    auto& values = out.rows.emplace_back();
    for (int n = 0; n < columns; ++n) {
      if (PQgetisnull(in, row, n) != 0) {
        values.emplace_back(std::nullopt);
      } else {
        values.emplace_back(
            std::string(PQgetvalue(in, row, n),
                        static_cast<std::size_t>(PQgetlength(in, row, n))));
      }
    }
  }
  const std::string affected = PQcmdTuples(in);
  std::from_chars(affected.data(), affected.data() + affected.size(),
                  out.affected);
  return out;
}

PqReply ToReply(PGresult* in) {
  PqReply reply;
  switch (PQresultStatus(in)) {
    case PGRES_COMMAND_OK:
    case PGRES_TUPLES_OK:
    case PGRES_EMPTY_QUERY:
      reply.status = PqReply::Status::kOk;
      reply.result = ToResultSet(in);
      break;
    case PGRES_PIPELINE_ABORTED:
      reply.status = PqReply::Status::kSkipped;
      break;
    default: {
      reply.status = PqReply::Status::kError;
      const char* state = PQresultErrorField(in, PG_DIAG_SQLSTATE);
      reply.sqlstate = state == nullptr ? "" : state;
      const char* text = PQresultErrorField(in, PG_DIAG_MESSAGE_PRIMARY);
      reply.message = text == nullptr ? PQresultErrorMessage(in) : text;
      break;
    }
  }
  return reply;
}

}  // namespace

PqConnection::PqConnection(asio::io_context& io) : descriptor_(io) {}

PqConnection::~PqConnection() {
  // libpq owns the socket and closes it.
  if (descriptor_.is_open()) descriptor_.release();
}

void PqConnection::Close() {
  closed_ = true;
  boost::system::error_code ignored;
  if (descriptor_.is_open()) descriptor_.cancel(ignored);
}

std::string PqConnection::LastError() const {
  std::string text = PQerrorMessage(connection_.get());
  while (!text.empty() && text.back() == '\n') text.pop_back();
  return text;
}

void PqConnection::AttachDescriptor() {
  const int socket = PQsocket(connection_.get());
  if (descriptor_.is_open()) {
    if (descriptor_.native_handle() == socket) return;
    descriptor_.release();
  }
  descriptor_.assign(socket);
}

asio::awaitable<void> PqConnection::WaitFor(Descriptor::wait_type type) {
  if (closed_) throw PqConnectionError{"closed"};
  boost::system::error_code ec;
  co_await descriptor_.async_wait(
      type, asio::redirect_error(asio::use_awaitable, ec));
  if (ec || closed_) throw PqConnectionError{"closed"};
}

asio::awaitable<void> PqConnection::Connect(std::string conninfo) {
  connection_.reset(PQconnectStart(conninfo.c_str()));
  if (!connection_ || PQstatus(connection_.get()) == CONNECTION_BAD) {
    throw PqConnectionError{"could not start to connect"};
  }
  for (;;) {
    const auto status = PQconnectPoll(connection_.get());
    if (status == PGRES_POLLING_OK) break;
    if (status == PGRES_POLLING_FAILED) throw PqConnectionError{LastError()};
    AttachDescriptor();
    co_await WaitFor(status == PGRES_POLLING_READING ? Descriptor::wait_read
                                                     : Descriptor::wait_write);
  }
  AttachDescriptor();
  PQsetnonblocking(connection_.get(), 1);
  if (PQenterPipelineMode(connection_.get()) != 1) {
    throw PqConnectionError{LastError()};
  }
  connected_ = true;
}

asio::awaitable<std::vector<PqReply>> PqConnection::Run(
    std::vector<PqQuery> batch) {
  PGconn* pq = connection_.get();
  for (const auto& it : batch) {
    std::vector<const char*> values;
    for (const auto& param : it.params) {
      values.push_back(param ? param->c_str() : nullptr);
    }
    if (PQsendQueryParams(pq, it.sql.c_str(), static_cast<int>(values.size()),
                          nullptr, values.data(), nullptr, nullptr, 0) != 1) {
      throw PqConnectionError{LastError()};
    }
  }
  if (PQpipelineSync(pq) != 1) throw PqConnectionError{LastError()};
  for (int left = PQflush(pq); left != 0; left = PQflush(pq)) {
    if (left < 0) throw PqConnectionError{LastError()};
    co_await WaitFor(Descriptor::wait_write);
  }
  std::vector<PqReply> replies;
  for (;;) {
    while (PQisBusy(pq) != 0) {
      co_await WaitFor(Descriptor::wait_read);
      if (PQconsumeInput(pq) != 1) throw PqConnectionError{LastError()};
    }
    const PqResult result(PQgetResult(pq));
    if (!result) {
      if (PQstatus(pq) == CONNECTION_BAD) throw PqConnectionError{LastError()};
      continue;  // a null result ends the results of each statement
    }
    if (PQresultStatus(result.get()) == PGRES_PIPELINE_SYNC) break;
    if (PQstatus(pq) == CONNECTION_BAD) throw PqConnectionError{LastError()};
    replies.push_back(ToReply(result.get()));
  }
  replies.resize(batch.size());
  co_return replies;
}

}  // namespace corianderdock::detail
