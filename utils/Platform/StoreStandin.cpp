#include "StoreStandin.h"
#include "RecordFrames.h"
#include "WireNames.h"
#include "absl/strings/escaping.h"
#include "bluebellkeel/Http/Await.h"
#include <algorithm>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

static constexpr milliseconds PollInterval{5};
static constexpr milliseconds SilentTime{5000};
/// Time for which the connection of a dropped read stays open.
static constexpr milliseconds DroppedReadTime{60000};

void store_standin::put(const std::string &Topic, const std::string &Key,
                        const std::string &Value) {
  absl::MutexLock Lock(&Mutex);
  addTo(Topics[Topic], Key, Value);
}

void store_standin::addTo(topic &Topic, const std::string &Key,
                          const std::string &Value) {
  Topic.Records.emplace_back(Key, Value);
  Topic.WrittenAt.push_back(std::chrono::steady_clock::now());
}

void store_standin::truncate(topic &Topic, std::size_t Size) {
  if (Size >= Topic.Records.size())
    return;
  Topic.Records.resize(Size);
  Topic.WrittenAt.resize(Size);
  Topic.First = std::min(Topic.First, Size);
}

store_standin::copy_sizes store_standin::takeCopy() const {
  absl::MutexLock Lock(&Mutex);
  copy_sizes Copy;
  for (const auto &[Name, Topic] : Topics)
    Copy[Name] = Topic.Records.size();
  return Copy;
}

void store_standin::restore(const copy_sizes &Copy) {
  absl::MutexLock Lock(&Mutex);
  ++Era;
  for (auto &[Name, Topic] : Topics) {
    auto Kept = Copy.find(Name);
    truncate(Topic, Kept == Copy.end() ? 0 : Kept->second);
  }
}

void store_standin::restoreFrom(milliseconds Time) {
  absl::MutexLock Lock(&Mutex);
  ++Era;
  monotonic_time CopiedAt = std::chrono::steady_clock::now() - Time;
  for (auto &[Name, Topic] : Topics) {
    auto Lost = std::upper_bound(Topic.WrittenAt.begin(), Topic.WrittenAt.end(),
                                 CopiedAt);
    truncate(Topic, static_cast<std::size_t>(Lost - Topic.WrittenAt.begin()));
  }
}

http_response store_standin::respond(int Status,
                                     const std::string &Body) const {
  absl::MutexLock Lock(&Mutex);
  return http_response(
      Status,
      http_headers().with(std::string(wire::StoreEra), std::to_string(Era)),
      Body);
}

void store_standin::compact(const std::string &Topic) {
  absl::MutexLock Lock(&Mutex);
  Topics[Topic].First = Topics[Topic].Records.size();
}

void store_standin::setFault(fault NewFault) {
  absl::MutexLock Lock(&Mutex);
  Fault = NewFault;
}

void store_standin::refuseReads(const std::string &Topic) {
  absl::MutexLock Lock(&Mutex);
  Topics[Topic].ReadsRefused = true;
}

bool store_standin::readsRefused(const std::string &Topic) const {
  absl::MutexLock Lock(&Mutex);
  auto Found = Topics.find(Topic);
  return Found != Topics.end() && Found->second.ReadsRefused;
}

void store_standin::dropWaitingReads(const std::string &Topic) {
  absl::MutexLock Lock(&Mutex);
  ++Topics[Topic].Drops;
}

void store_standin::setPageSize(std::size_t Keys) {
  absl::MutexLock Lock(&Mutex);
  PageSize = Keys;
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
    Responder.send(respond(503, ""));
    return;
  }
  if (ActiveFault == fault::Silent) {
    awaitTime(Yield, SilentTime);
    Responder.abandon();
    return;
  }
  if (Request.path() == "/put") {
    put(Request.query("topic"), Request.query("key"), Request.body());
    Responder.send(respond(200, ""));
  } else if (Request.path() == "/drop-reads") {
    dropWaitingReads(Request.query("topic"));
    Responder.send(respond(200, ""));
  } else if (Request.path() == "/restore") {
    restoreFrom(milliseconds(std::stol(Request.query("back_ms"))));
    Responder.send(respond(200, ""));
  } else if (Request.path() == "/newest-value") {
    std::string Value = newest(Request.query("topic"), Request.query("key"));
    Responder.send(respond(200, Value));
  } else if (Request.path() == "/bluebellkeel/log-append")
    append(Request, Responder);
  else if (readsRefused(Request.query("topic")))
    Responder.send(respond(503, ""));
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
        addTo(Topic, Record.name(), Record.value());
    }
    Lost = Fault == fault::AnswersLost;
  }
  if (Conflict) {
    Responder.send(respond(412, "{}"));
    return;
  }
  if (Lost) {
    Responder.abandon();
    return;
  }
  nlohmann::json ResponseJson = {{"offset", Offset}, {"end", Offset + 1}};
  Responder.send(respond(200, ResponseJson.dump()));
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
    const topic &Read = Topics[Topic];
    Trimmed = From < Read.First || From > Read.Records.size();
  }
  if (Trimmed) {
    Responder.send(respond(410, "{\"first\":0}"));
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
  Responder.send(respond(200, Body.empty() ? std::string(16, '\0') : Body));
}

void store_standin::listNewest(const http_request &Request,
                               http_responder &Responder) {
  nlohmann::json Items = nlohmann::json::array();
  std::size_t End = 0;
  bool HasMore = false;
  std::string After = Request.query("after");
  {
    absl::MutexLock Lock(&Mutex);
    const topic &Topic = Topics[Request.query("topic")];
    End = Topic.Records.size();
    std::map<std::string, std::size_t> Latest;
    for (std::size_t I = 0; I < End; ++I)
      Latest[Topic.Records[I].first] = I;
    for (auto It = Latest.upper_bound(After); It != Latest.end(); ++It) {
      const auto &[Key, Offset] = *It;
      const std::string &Value = Topic.Records[Offset].second;
      if (Value.empty())
        continue;
      HasMore = Items.size() == PageSize;
      if (HasMore)
        break;
      Items.push_back({{"key", Key},
                       {"value", absl::Base64Escape(Value)},
                       {"offset", Offset}});
    }
  }
  nlohmann::json ResponseJson = {
      {"items", std::move(Items)}, {"has_more", HasMore}, {"end", End}};
  Responder.send(respond(200, ResponseJson.dump()));
}
