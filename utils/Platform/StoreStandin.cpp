#include "StoreStandin.h"
#include "RecordFrames.h"
#include "absl/strings/escaping.h"
#include "bluebellkeel/Http/Await.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

static constexpr milliseconds PollInterval{5};
static constexpr milliseconds SilentTime{5000};
/// Time for which the connection of a dropped read stays open.
static constexpr milliseconds DroppedReadTime{60000};

void store_standin::put(const std::string &Topic, const std::string &Key,
                        const std::string &Value) {
  absl::MutexLock Lock(&Mutex);
  Topics[Topic].Records.emplace_back(Key, Value);
}

void store_standin::compact(const std::string &Topic) {
  absl::MutexLock Lock(&Mutex);
  Topics[Topic].First = Topics[Topic].Records.size();
}

void store_standin::setFault(fault NewFault) {
  absl::MutexLock Lock(&Mutex);
  Fault = NewFault;
}

void store_standin::dropWaitingReads(const std::string &Topic) {
  absl::MutexLock Lock(&Mutex);
  ++Topics[Topic].Drops;
}

std::uint64_t store_standin::dropsOf(const std::string &Topic) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Topics.find(Topic);
  return Found == Topics.end() ? 0 : Found->second.Drops;
}

std::string store_standin::newest(const std::string &Topic,
                                  const std::string &Key) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Topics.find(Topic);
  std::string Value;
  if (Found == Topics.end())
    return Value;
  for (const auto &Record : Found->second.Records) {
    if (Record.first == Key)
      Value = Record.second;
  }
  return Value;
}

int store_standin::calls() const {
  absl::MutexLock Lock(&Mutex);
  return Calls;
}

void store_standin::handle(const http_request &Request,
                           http_responder &Responder,
                           boost::asio::yield_context Yield) {
  fault ActiveFault = fault::None;
  {
    absl::MutexLock Lock(&Mutex);
    ++Calls;
    ActiveFault = Fault;
  }
  if (ActiveFault == fault::Busy) {
    Responder.send(http_response(503, http_headers(), ""));
    return;
  }
  if (ActiveFault == fault::Silent) {
    awaitTime(Yield, SilentTime);
    Responder.abandon();
    return;
  }
  if (Request.path() == "/put") {
    put(Request.query("topic"), Request.query("key"), Request.body());
    Responder.send(http_response(200, http_headers(), ""));
  } else if (Request.path() == "/drop-reads") {
    dropWaitingReads(Request.query("topic"));
    Responder.send(http_response(200, http_headers(), ""));
  } else if (Request.path() == "/newest-value") {
    std::string Value = newest(Request.query("topic"), Request.query("key"));
    Responder.send(http_response(200, http_headers(), Value));
  } else if (Request.path() == "/bluebellkeel/log-append")
    append(Request, Responder);
  else if (Request.path() == "/bluebellkeel/log-read")
    read(Request, Responder, Yield);
  else
    listNewest(Request, Responder);
}

void store_standin::append(const http_request &Request,
                           http_responder &Responder) {
  std::string Body(16, '\0');
  auto Page = readRecordFrames(Body + Request.body(), log_offset());
  std::size_t Offset = 0;
  bool Lost = false;
  bool Conflict = false;
  {
    absl::MutexLock Lock(&Mutex);
    topic &Topic = Topics[Request.query("topic")];
    Offset = Topic.Records.size();
    std::string At = Request.query("at");
    Conflict = !At.empty() && At != std::to_string(Offset);
    if (!Conflict) {
      for (const auto &Record : Page->records())
        Topic.Records.emplace_back(Record.name(), Record.value());
    }
    Lost = Fault == fault::AnswersLost;
  }
  if (Conflict) {
    Responder.send(http_response(412, http_headers(), "{}"));
    return;
  }
  if (Lost) {
    Responder.abandon();
    return;
  }
  nlohmann::json ResponseJson = {{"offset", Offset}, {"end", Offset + 1}};
  Responder.send(http_response(200, http_headers(), ResponseJson.dump()));
}

std::string store_standin::recordsFrom(const std::string &Topic,
                                       std::size_t From) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Topics.find(Topic);
  std::string Body(16, '\0');
  if (Found == Topics.end() || From >= Found->second.Records.size())
    return "";
  for (std::size_t I = From; I < Found->second.Records.size(); ++I)
    Body += writeRecordFrame(Found->second.Records[I].first,
                             Found->second.Records[I].second);
  return Body;
}

void store_standin::read(const http_request &Request, http_responder &Responder,
                         boost::asio::yield_context Yield) {
  std::string Topic = Request.query("topic");
  std::size_t From = std::stoul(Request.query("from"));
  bool Trimmed = false;
  {
    absl::MutexLock Lock(&Mutex);
    Trimmed = From < Topics[Topic].First;
  }
  if (Trimmed) {
    Responder.send(http_response(410, http_headers(), "{\"first\":0}"));
    return;
  }
  std::string Wait = Request.query("wait_timeout_ms");
  milliseconds Left(Wait.empty() ? 0 : std::stol(Wait));
  std::uint64_t Drops = dropsOf(Topic);
  std::string Body = recordsFrom(Topic, From);
  for (; Body.empty() && Left.count() > 0; Left -= PollInterval) {
    awaitTime(Yield, PollInterval);
    if (dropsOf(Topic) != Drops) {
      awaitTime(Yield, DroppedReadTime);
      Responder.abandon();
      return;
    }
    Body = recordsFrom(Topic, From);
  }
  Responder.send(http_response(200, http_headers(),
                               Body.empty() ? std::string(16, '\0') : Body));
}

void store_standin::listNewest(const http_request &Request,
                               http_responder &Responder) {
  nlohmann::json Items = nlohmann::json::array();
  std::size_t End = 0;
  {
    absl::MutexLock Lock(&Mutex);
    const topic &Topic = Topics[Request.query("topic")];
    End = Topic.Records.size();
    std::map<std::string, std::size_t> Latest;
    for (std::size_t I = 0; I < End; ++I)
      Latest[Topic.Records[I].first] = I;
    for (const auto &[Key, Offset] : Latest) {
      const std::string &Value = Topic.Records[Offset].second;
      if (!Value.empty())
        Items.push_back({{"key", Key},
                         {"value", absl::Base64Escape(Value)},
                         {"offset", Offset}});
    }
  }
  nlohmann::json ResponseJson = {
      {"items", std::move(Items)}, {"has_more", false}, {"end", End}};
  Responder.send(http_response(200, http_headers(), ResponseJson.dump()));
}
