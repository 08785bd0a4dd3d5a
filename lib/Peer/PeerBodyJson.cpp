#include "PeerBodyJson.h"
#include "BoardJson.h"
#include "DigestJson.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

template <typename body_t>
using body_result = tl::expected<body_t, codec_error>;

/// Returns the error of \p Fields if reading failed, otherwise \p Body.
template <typename body_t>
static body_result<peer_body> bodyOrError(const field_reader &Fields,
                                          body_t Body) {
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return peer_body(std::move(Body));
}

static json toCompactJson(const heartbeat_query & /*Body*/) {
  return json::object();
}

static json toCompactJson(const heartbeat_answer &Body) {
  const heartbeat &Heartbeat = Body.senderHeartbeat();
  json Ratings = json::array();
  for (const auto &[Version, Counts] : Body.ratings())
    Ratings.push_back(
        {{"v", Version.text()}, {"g", Counts.good()}, {"b", Counts.bad()}});
  json Json = {{"i", Heartbeat.incarnation()},
               {"s", Heartbeat.serving()},
               {"o", Heartbeat.settingsApplied().value()},
               {"r", std::move(Ratings)}};
  if (Heartbeat.logAge())
    Json["a"] = static_cast<std::uint64_t>(Heartbeat.logAge()->count());
  return Json;
}

static heartbeat_answer::rating_map ratingsFrom(field_reader &Fields) {
  heartbeat_answer::rating_map Ratings;
  for (const auto &Item : Fields.array("r")) {
    field_reader Rating(Item);
    version_id Version(Rating.text("v"));
    quality_counts Counts(Rating.number("g"), Rating.number("b"));
    if (Rating.failed())
      Fields.fail(Rating.error().message());
    Ratings[Version] = Counts;
  }
  return Ratings;
}

static body_result<peer_body> heartbeatFrom(const json &Json) {
  // The envelope carries the sender; peer_codec sets it after decoding.
  field_reader Fields(Json);
  std::uint64_t Incarnation = Fields.number("i");
  bool Serving = Fields.flag("s");
  log_offset Applied(Fields.number("o"));
  std::optional<milliseconds> Age;
  if (!Fields.optional("a").is_null())
    Age = milliseconds(Fields.number("a"));
  heartbeat Heartbeat(instance_id(), Incarnation, Serving, Applied, Age);
  auto Ratings = ratingsFrom(Fields);
  return bodyOrError(Fields, heartbeat_answer(Heartbeat, std::move(Ratings)));
}

static json toCompactJson(const grant_ask &Body) {
  json Requests = json::array();
  for (const auto &Request : Body.requests())
    Requests.push_back({{"u", Request.upstream().text()},
                        {"fr", Request.inFlight().requests()},
                        {"ft", Request.inFlight().tokens()},
                        {"wr", Request.wanted().requests()},
                        {"wt", Request.wanted().tokens()}});
  return {{"q", std::move(Requests)}};
}

static load_amount loadAmountFrom(field_reader &Fields, const char *Requests,
                                  const char *Tokens) {
  constexpr std::uint64_t MaxRequests = 100000;
  std::uint64_t Count = Fields.number(Requests);
  if (Count > MaxRequests)
    Fields.fail("too many requests");
  return load_amount(static_cast<std::uint32_t>(Count), Fields.number(Tokens));
}

static body_result<peer_body> grantAskFrom(const json &Json) {
  field_reader Fields(Json);
  std::vector<grant_request> Requests;
  for (const auto &Item : Fields.array("q")) {
    field_reader Request(Item);
    upstream_id Upstream(Request.text("u"));
    load_amount InFlight = loadAmountFrom(Request, "fr", "ft");
    load_amount Wanted = loadAmountFrom(Request, "wr", "wt");
    if (Request.failed())
      Fields.fail(Request.error().message());
    Requests.emplace_back(instance_id(), Upstream, InFlight, Wanted);
  }
  return bodyOrError(Fields, grant_ask(std::move(Requests)));
}

static json toCompactJson(const grant_reply &Body) {
  json Grants = json::array();
  for (const auto &Grant : Body.grants())
    Grants.push_back({{"u", Grant.upstream().text()},
                      {"r", Grant.share().requests()},
                      {"t", Grant.share().tokens()},
                      {"m", Grant.term().count()}});
  return {{"g", std::move(Grants)}};
}

static body_result<peer_body> grantReplyFrom(const json &Json) {
  constexpr std::uint64_t MaxTermMs = 60000;
  field_reader Fields(Json);
  std::vector<grant> Grants;
  for (const auto &Item : Fields.array("g")) {
    field_reader Grant(Item);
    upstream_id Upstream(Grant.text("u"));
    load_amount Share = loadAmountFrom(Grant, "r", "t");
    std::uint64_t Term = Grant.number("m");
    if (Term > MaxTermMs)
      Grant.fail("term too long");
    if (Grant.failed())
      Fields.fail(Grant.error().message());
    Grants.emplace_back(Upstream, Share, milliseconds(Term));
  }
  return bodyOrError(Fields, grant_reply(std::move(Grants)));
}

static json toCompactJson(const bill_copy &Body) {
  json Bills = json::array();
  for (const auto &Bill : Body.bills())
    Bills.push_back(toJson(Bill));
  return {{"b", std::move(Bills)}};
}

static body_result<peer_body> billCopyFrom(const json &Json) {
  field_reader Fields(Json);
  std::vector<bill> Bills;
  for (const auto &Item : Fields.array("b")) {
    auto Bill = billFrom(Item);
    if (!Bill)
      return tl::unexpected(Bill.error());
    Bills.push_back(*Bill);
  }
  return bodyOrError(Fields, bill_copy(std::move(Bills)));
}

static json toCompactJson(const bill_copy_ack &Body) {
  return {{"h", Body.held()}};
}

static body_result<peer_body> billCopyAckFrom(const json &Json) {
  field_reader Fields(Json);
  bool Held = Fields.flag("h");
  return bodyOrError(Fields, bill_copy_ack(Held));
}

static json toCompactJson(const crash_notice &Body) {
  return {{"f", Body.request().text()}, {"u", Body.upstream().text()}};
}

static body_result<peer_body> crashNoticeFrom(const json &Json) {
  field_reader Fields(Json);
  fingerprint Request(Fields.text("f"));
  upstream_id Upstream(Fields.text("u"));
  return bodyOrError(Fields, crash_notice(Request, Upstream));
}

static json toCompactJson(const state_query & /*Body*/) {
  return json::object();
}

static json toCompactJson(const state_answer &Body) {
  return toJson(Body.state());
}

static body_result<peer_body> stateAnswerFrom(const json &Json) {
  return settingsStateFrom(Json).map([](settings_state State) {
    return peer_body(state_answer(std::move(State)));
  });
}

static json toCompactJson(const instance_digest &Body) {
  return digestToJson(Body);
}

static json toCompactJson(const view_query &Body) {
  return viewQueryToJson(Body);
}

static json toCompactJson(const view_answer &Body) {
  return viewAnswerToJson(Body);
}

static json toCompactJson(const duty_progress &Body) {
  return {{"t", Body.token()},
          {"w", Body.newestWindow()},
          {"h", Body.holder().text()}};
}

static duty_progress progressFrom(field_reader &Fields) {
  std::uint64_t Token = Fields.number("t");
  std::uint64_t Window = Fields.number("w");
  return {Token, Window, instance_id(Fields.text("h"))};
}

static body_result<peer_body> dutyProgressFrom(const json &Json) {
  field_reader Fields(Json);
  duty_progress Progress = progressFrom(Fields);
  return bodyOrError(Fields, Progress);
}

static json toCompactJson(const usage_counts &Body) {
  json Json = toCompactJson(Body.progress());
  Json["u"] = toJson(Body.reports());
  if (!Body.work().empty())
    Json["l"] = toJson(Body.work());
  return Json;
}

static body_result<peer_body> usageCountsFrom(const json &Json) {
  field_reader Fields(Json);
  duty_progress Progress = progressFrom(Fields);
  auto Reports = usageReportsFrom(Fields.optional("u"));
  if (!Reports)
    return tl::unexpected(Reports.error());
  auto Work = serviceWorkFrom(Fields.optional("l"));
  if (!Work)
    return tl::unexpected(Work.error());
  return bodyOrError(
      Fields, usage_counts(std::move(*Reports), std::move(*Work), Progress));
}

static json toCompactJson(const load_batch &Body) { return batchToJson(Body); }

static json toCompactJson(const load_board &Body) { return boardToJson(Body); }

json bluebellkeel::bodyToJson(const peer_body &Body) {
  return std::visit([](const auto &Held) { return toCompactJson(Held); }, Body);
}

body_result<peer_body> bluebellkeel::bodyFromJson(std::string_view Kind,
                                                  const json &Json) {
  if (Kind == "heartbeat_query")
    return peer_body(heartbeat_query());
  if (Kind == "heartbeat_answer")
    return heartbeatFrom(Json);
  if (Kind == "grant_ask")
    return grantAskFrom(Json);
  if (Kind == "grant_reply")
    return grantReplyFrom(Json);
  if (Kind == "bill_copy")
    return billCopyFrom(Json);
  if (Kind == "bill_copy_ack")
    return billCopyAckFrom(Json);
  if (Kind == "crash_notice")
    return crashNoticeFrom(Json);
  if (Kind == "state_query")
    return peer_body(state_query());
  if (Kind == "state_answer")
    return stateAnswerFrom(Json);
  if (Kind == "instance_digest")
    return digestFromJson(Json);
  if (Kind == "view_query")
    return viewQueryFromJson(Json);
  if (Kind == "view_answer")
    return viewAnswerFromJson(Json);
  if (Kind == "usage_counts")
    return usageCountsFrom(Json);
  if (Kind == "duty_progress")
    return dutyProgressFrom(Json);
  if (Kind == "load_batch")
    return batchFromJson(Json);
  if (Kind == "load_board")
    return boardFromJson(Json);
  return tl::unexpected(codec_error("unknown kind of message"));
}
