#include "bluebellkeel/Platform/HttpLog.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

static constexpr int StatusOk = 200;

/// The log rejects appends with this status while it is unavailable.
static constexpr int StatusUnavailable = 503;

static journal_error appendErrorOf(http_error Error) {
  return Error == http_error::ConnectFailed ? journal_error::Unavailable
                                            : journal_error::InDoubt;
}

static tl::expected<log_offset, journal_error>
firstOffsetFrom(const tl::expected<http_response, http_error> &Response) {
  if (!Response)
    return tl::unexpected(appendErrorOf(Response.error()));
  if (Response->status() == StatusUnavailable)
    return tl::unexpected(journal_error::Unavailable);
  if (Response->status() != StatusOk)
    return tl::unexpected(journal_error::InDoubt);
  auto Json = parseJson(Response->body());
  if (!Json)
    return tl::unexpected(journal_error::Malformed);
  field_reader Fields(*Json);
  log_offset First(Fields.number("first"));
  if (Fields.failed())
    return tl::unexpected(journal_error::Malformed);
  return First;
}

template <typename entry_t>
tl::expected<log_offset, journal_error>
http_log<entry_t>::append(const std::vector<entry_t> &Entries) {
  json Records = json::array();
  for (const auto &Entry : Entries)
    Records.push_back(toJson(Entry));
  std::string Stream = record_codec<entry_t>::StreamName;
  http_request Request("POST", "/streams/" + Stream,
                       http_headers().with("Content-Type", "application/json"),
                       json{{"records", std::move(Records)}}.dump());
  auto First = firstOffsetFrom(Client.send(Address, Request));
  Monitor.countAppend(Stream, First.has_value(), Entries.size());
  return First;
}

template <typename entry_t>
static tl::expected<log_page<entry_t>, journal_error>
pageFrom(const json &Json, log_offset From) {
  field_reader Fields(Json);
  log_offset Head(Fields.number("head"));
  log_offset FirstRetained(Fields.number("first_retained"));
  std::vector<log_record<entry_t>> Records;
  log_offset ReadTo(From.value() - 1);
  for (const auto &Item : Fields.array("records")) {
    field_reader Record(Item);
    log_offset Offset(Record.number("offset"));
    if (Record.failed() || Offset <= ReadTo)
      return tl::unexpected(journal_error::Malformed);
    ReadTo = Offset;
    // Every instance skips the same records that cannot be decoded.
    auto Entry = record_codec<entry_t>::decode(Record.optional("data"));
    if (Entry)
      Records.emplace_back(Offset, *Entry);
  }
  if (Fields.failed())
    return tl::unexpected(journal_error::Malformed);
  return log_page<entry_t>(FirstRetained, Head, ReadTo, std::move(Records));
}

template <typename entry_t>
tl::expected<log_page<entry_t>, journal_error>
http_log<entry_t>::read(log_offset From, std::size_t MaxRecords) {
  std::string Target =
      absl::StrCat("/streams/", record_codec<entry_t>::StreamName,
                   "?from=", From.value(), "&max=", MaxRecords);
  auto Response = Client.send(Address, http_request("GET", Target, {}, ""));
  if (!Response || Response->status() != StatusOk)
    return tl::unexpected(journal_error::Unavailable);
  auto Json = parseJson(Response->body());
  if (!Json)
    return tl::unexpected(journal_error::Malformed);
  return pageFrom<entry_t>(*Json, From);
}

template class bluebellkeel::http_log<settings_record>;
template class bluebellkeel::http_log<claim_entry>;
template class bluebellkeel::http_log<bill>;
