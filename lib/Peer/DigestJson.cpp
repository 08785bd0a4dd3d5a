#include "DigestJson.h"
#include "NoticeJson.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include <algorithm>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

using body_result = tl::expected<peer_body, codec_error>;

static json toCompactJson(const event_intervals &Intervals) {
  json Levels = json::array();
  for (const auto &Mean : Intervals.means())
    Levels.push_back({{"n", Mean.count()}, {"l", Mean.logSum()}});
  return Levels;
}

static json toCompactJson(const version_stats &Stats) {
  return {{"g", Stats.good()},
          {"b", Stats.bad()},
          {"t", Stats.firstByte().count()},
          {"l", Stats.firstByte().logSum()},
          {"ei", toCompactJson(Stats.eventIntervals())}};
}

/// Reads the fields that earlier releases do not send.
static event_intervals eventIntervalsFrom(field_reader &Fields) {
  event_intervals::level_means Means;
  if (Fields.optional("ei").is_null())
    return event_intervals();
  const json &Levels = Fields.array("ei");
  if (Levels.size() != Means.size()) {
    Fields.fail("ei: another number of load levels");
    return event_intervals();
  }
  std::size_t Level = 0;
  for (const auto &Item : Levels) {
    field_reader Mean(Item);
    std::uint64_t Count = Mean.number("n");
    Means.at(Level++) = log_time_mean(Count, Mean.real("l"));
    if (Mean.failed())
      Fields.fail(Mean.error().message());
  }
  return event_intervals(Means);
}

static version_stats versionStatsFrom(const json &Json, field_reader &Outer) {
  field_reader Fields(Json);
  std::uint64_t Good = Fields.number("g");
  std::uint64_t Bad = Fields.number("b");
  std::uint64_t Timed = Fields.number("t");
  double LogTimeSum = Fields.real("l");
  event_intervals EventIntervals = eventIntervalsFrom(Fields);
  if (Fields.failed())
    Outer.fail(Fields.error().message());
  return version_stats(Good, Bad, log_time_mean(Timed, LogTimeSum),
                       EventIntervals);
}

static json toCompactJson(const roll_out_evidence &Evidence) {
  const roll_out_order &Order = Evidence.order();
  return {{"s", Order.service().text()},
          {"v", Order.target().text()},
          {"d", static_cast<std::uint64_t>(Order.duration().count())},
          {"o", Order.position().offset().value()},
          {"oe", Order.position().era()},
          {"e", static_cast<std::uint64_t>(Evidence.elapsed().count())},
          {"st", static_cast<std::uint64_t>(Evidence.stage())},
          {"p", Evidence.published()},
          {"tt", toCompactJson(Evidence.target())},
          {"to", toCompactJson(Evidence.others())}};
}

/// Returns the era, which earlier releases do not send.
static std::uint64_t eraFrom(field_reader &Fields, const char *Name) {
  return Fields.optional(Name).is_null() ? 0 : Fields.number(Name);
}

static roll_out_evidence evidenceFrom(const json &Json, field_reader &Outer) {
  field_reader Fields(Json);
  roll_out_evidence::fields Evidence;
  service_id Service(Fields.text("s"));
  version_id Target(Fields.text("v"));
  milliseconds Duration(Fields.number("d"));
  log_offset Offset(Fields.number("o"));
  Evidence.Order = roll_out_order(Service, Target, Duration,
                                  log_position(eraFrom(Fields, "oe"), Offset));
  Evidence.Elapsed = milliseconds(Fields.number("e"));
  std::uint64_t Stage = Fields.number("st");
  if (Stage > static_cast<std::uint64_t>(roll_out_stage::RolledBack))
    Fields.fail("unknown stage");
  else
    Evidence.Stage = static_cast<roll_out_stage>(Stage);
  Evidence.Published = Fields.flag("p");
  Evidence.Target = versionStatsFrom(Fields.optional("tt"), Fields);
  Evidence.Others = versionStatsFrom(Fields.optional("to"), Fields);
  if (Fields.failed())
    Outer.fail(Fields.error().message());
  return roll_out_evidence(std::move(Evidence));
}

static json crashesToJson(const part_crash_report &Report) {
  json Crashes = json::array();
  for (const auto &Crash : Report.crashes())
    Crashes.push_back({{"f", Crash.request().text()},
                       {"u", Crash.upstream().upstream().text()},
                       {"n", Crash.upstream().number()},
                       {"p", Crash.parts()},
                       {"a", static_cast<std::uint64_t>(Crash.age().count())}});
  return Crashes;
}

static json interruptionsToJson(const part_crash_report &Report) {
  json Interruptions = json::array();
  for (const auto &Interruption : Report.interruptions())
    Interruptions.push_back(
        {{"p", Interruption.part()},
         {"i", Interruption.position()},
         {"f", Interruption.request().text()},
         {"u", Interruption.upstream().upstream().text()},
         {"n", Interruption.upstream().number()},
         {"a", static_cast<std::uint64_t>(Interruption.age().count())}});
  return Interruptions;
}

static json successesToJson(const part_crash_report &Report) {
  json Successes = json::array();
  for (const auto &Success : Report.successes())
    Successes.push_back(
        {{"p", Success.part()},
         {"a", static_cast<std::uint64_t>(Success.age().count())}});
  return Successes;
}

static json requestCrashesToJson(const request_crash_report &Report) {
  json Crashes = json::array();
  for (const auto &Crash : Report.crashes())
    Crashes.push_back({{"f", Crash.request().text()},
                       {"u", Crash.upstream().text()},
                       {"a", static_cast<std::uint64_t>(Crash.age().count())}});
  return Crashes;
}

json bluebellkeel::digestToJson(const instance_digest &Body) {
  json Loads = json::array();
  for (const auto &Load : Body.loads())
    Loads.push_back({{"u", Load.upstream().text()},
                     {"r", Load.running()},
                     {"p", Load.prefill()}});
  json RollOuts = json::array();
  for (const auto &Evidence : Body.rollOuts())
    RollOuts.push_back(toCompactJson(Evidence));
  json KnownInstances = json::array();
  for (const auto &Record : Body.knownInstances())
    KnownInstances.push_back(toJson(Record));
  json LivenessReports = json::array();
  for (const auto &LivenessReport : Body.livenessReports())
    LivenessReports.push_back(
        {{"i", LivenessReport.id().text()},
         {"a", static_cast<std::uint64_t>(LivenessReport.age().count())},
         {"l", LivenessReport.state() == instance_state::Live}});
  json Json = {{"i", toJson(Body.sender())},
               {"so", Body.settings().end().offset().value()},
               {"se", Body.settings().end().era()},
               {"uo", Body.upstreams().end().offset().value()},
               {"ue", Body.upstreams().end().era()},
               {"l", std::move(Loads)},
               {"r", std::move(RollOuts)},
               {"c", requestCrashesToJson(Body.requestCrashes())},
               {"k", std::move(KnownInstances)},
               {"h", std::move(LivenessReports)}};
  for (const auto &Success : Body.requestCrashes().successes())
    Json["cs"].push_back(
        {{"f", Success.request().text()},
         {"a", static_cast<std::uint64_t>(Success.age().count())}});
  if (!Body.partCrashes().crashes().empty())
    Json["pc"] = crashesToJson(Body.partCrashes());
  if (!Body.partCrashes().successes().empty())
    Json["ps"] = successesToJson(Body.partCrashes());
  if (!Body.partCrashes().interruptions().empty())
    Json["pi"] = interruptionsToJson(Body.partCrashes());
  if (!Body.notices().empty())
    Json["un"] = noticesToJson(Body.notices());
  if (Body.settings().age())
    Json["a"] = static_cast<std::uint64_t>(Body.settings().age()->count());
  if (Body.upstreams().age())
    Json["b"] = static_cast<std::uint64_t>(Body.upstreams().age()->count());
  return Json;
}

static std::vector<instance_load> loadsFrom(field_reader &Fields) {
  std::vector<instance_load> Loads;
  for (const auto &Item : Fields.array("l")) {
    field_reader Load(Item);
    upstream_id Upstream(Load.text("u"));
    std::uint64_t Running = Load.number("r");
    std::uint64_t Prefill = Load.number("p");
    if (Load.failed())
      Fields.fail(Load.error().message());
    Loads.emplace_back(Upstream, Running, Prefill);
  }
  return Loads;
}

/// Returns the array \p Name, or an empty array if it is missing.
static const json &optionalArray(field_reader &Fields, const char *Name) {
  static const json Empty = json::array();
  return Fields.optional(Name).is_null() ? Empty : Fields.array(Name);
}

static milliseconds ageFrom(field_reader &Fields) {
  constexpr std::uint64_t MaxAgeMs = 86400000;
  std::uint64_t Age = Fields.number("a");
  if (Age > MaxAgeMs)
    Fields.fail("an age is over a day");
  return milliseconds(std::min(Age, MaxAgeMs));
}

/// Reads the crashes, whose ages earlier releases do not send, and the
/// successes, which they do not send either.
static request_crash_report requestCrashesFrom(field_reader &Fields) {
  std::vector<request_crash> Crashes;
  for (const auto &Item : Fields.array("c")) {
    field_reader Crash(Item);
    fingerprint Request(Crash.text("f"));
    upstream_id Upstream(Crash.text("u"));
    milliseconds Age =
        Crash.optional("a").is_null() ? milliseconds(0) : ageFrom(Crash);
    Crashes.emplace_back(Request, Upstream, Age);
    if (Crash.failed())
      Fields.fail(Crash.error().message());
  }
  std::vector<request_success> Successes;
  for (const auto &Item : optionalArray(Fields, "cs")) {
    field_reader Success(Item);
    fingerprint Request(Success.text("f"));
    Successes.emplace_back(Request, ageFrom(Success));
    if (Success.failed())
      Fields.fail(Success.error().message());
  }
  return request_crash_report(std::move(Crashes), std::move(Successes));
}

static std::vector<std::string> partsFrom(field_reader &Crash) {
  std::vector<std::string> Parts;
  for (const auto &Part : Crash.array("p")) {
    if (!Part.is_string()) {
      Crash.fail("a part is no string");
      break;
    }
    Parts.push_back(Part.get<std::string>());
  }
  return Parts;
}

/// Reads the fields that earlier releases do not send.
static part_crash_report partCrashesFrom(field_reader &Fields) {
  std::vector<part_crash> Crashes;
  std::vector<part_success> Successes;
  for (const auto &Item : optionalArray(Fields, "pc")) {
    field_reader Crash(Item);
    fingerprint Request(Crash.text("f"));
    upstream_id Id(Crash.text("u"));
    upstream_incarnation Upstream(Id, Crash.number("n"));
    Crashes.emplace_back(Request, Upstream, partsFrom(Crash), ageFrom(Crash));
    if (Crash.failed())
      Fields.fail(Crash.error().message());
  }
  for (const auto &Item : optionalArray(Fields, "ps")) {
    field_reader Success(Item);
    std::string Part = Success.text("p");
    Successes.emplace_back(Part, ageFrom(Success));
    if (Success.failed())
      Fields.fail(Success.error().message());
  }
  std::vector<part_interruption> Interruptions;
  for (const auto &Item : optionalArray(Fields, "pi")) {
    field_reader Interruption(Item);
    std::string Part = Interruption.text("p");
    std::uint64_t Position = Interruption.number("i");
    fingerprint Request(Interruption.text("f"));
    upstream_id Id(Interruption.text("u"));
    upstream_incarnation Upstream(Id, Interruption.number("n"));
    Interruptions.emplace_back(Part, Position, Request, Upstream,
                               ageFrom(Interruption));
    if (Interruption.failed())
      Fields.fail(Interruption.error().message());
  }
  return part_crash_report(std::move(Crashes), std::move(Successes),
                           std::move(Interruptions));
}

static std::vector<liveness_report> livenessReportsFrom(field_reader &Fields) {
  std::vector<liveness_report> LivenessReports;
  for (const auto &Item : Fields.array("h")) {
    field_reader LivenessReport(Item);
    instance_id Id(LivenessReport.text("i"));
    milliseconds Age(LivenessReport.number("a"));
    bool Live = LivenessReport.flag("l");
    if (LivenessReport.failed())
      Fields.fail(LivenessReport.error().message());
    LivenessReports.emplace_back(
        Id, Age, Live ? instance_state::Live : instance_state::Leaving);
  }
  return LivenessReports;
}

static instance_record recordFrom(const json &Json, field_reader &Fields) {
  auto Record = instanceRecordFrom(Json);
  if (!Record) {
    Fields.fail(Record.error().message());
    return instance_record();
  }
  return *Record;
}

/// Returns an optional age in milliseconds.
static std::optional<milliseconds> viewAgeFrom(field_reader &Fields,
                                               const char *Name) {
  if (Fields.optional(Name).is_null())
    return std::nullopt;
  return milliseconds(Fields.number(Name));
}

static view_state viewStateFrom(field_reader &Fields, const char *EraName,
                                const char *EndName, const char *AgeName) {
  log_offset End(Fields.number(EndName));
  return view_state(log_position(eraFrom(Fields, EraName), End),
                    viewAgeFrom(Fields, AgeName));
}

body_result bluebellkeel::digestFromJson(const json &Json) {
  field_reader Fields(Json);
  instance_digest::fields Digest;
  Digest.Sender = recordFrom(Fields.optional("i"), Fields);
  Digest.Settings = viewStateFrom(Fields, "se", "so", "a");
  Digest.Upstreams = viewStateFrom(Fields, "ue", "uo", "b");
  Digest.Loads = loadsFrom(Fields);
  for (const auto &Item : Fields.array("r"))
    Digest.RollOuts.push_back(evidenceFrom(Item, Fields));
  Digest.RequestCrashes = requestCrashesFrom(Fields);
  Digest.PartCrashes = partCrashesFrom(Fields);
  Digest.Notices = noticesFromJson(optionalArray(Fields, "un"), Fields);
  for (const auto &Item : Fields.array("k"))
    Digest.KnownInstances.push_back(recordFrom(Item, Fields));
  Digest.LivenessReports = livenessReportsFrom(Fields);
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return peer_body(instance_digest(std::move(Digest)));
}

json bluebellkeel::viewQueryToJson(const view_query &Body) {
  return {{"t", static_cast<std::uint64_t>(Body.topic())},
          {"e", Body.after().era()},
          {"o", Body.after().offset().value()}};
}

static keyed_topic topicFrom(field_reader &Fields) {
  std::uint64_t Topic = Fields.number("t");
  if (Topic > static_cast<std::uint64_t>(keyed_topic::Statuses)) {
    Fields.fail("unknown topic");
    return keyed_topic::Settings;
  }
  return static_cast<keyed_topic>(Topic);
}

body_result bluebellkeel::viewQueryFromJson(const json &Json) {
  field_reader Fields(Json);
  keyed_topic Topic = topicFrom(Fields);
  log_offset After(Fields.number("o"));
  std::uint64_t Era = eraFrom(Fields, "e");
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return peer_body(view_query(Topic, log_position(Era, After)));
}

json bluebellkeel::viewAnswerToJson(const view_answer &Body) {
  json Records = json::array();
  for (const auto &Record : Body.page().records())
    Records.push_back({{"k", Record.name()},
                       {"v", Record.value()},
                       {"o", Record.position().offset().value()}});
  json Json = {{"t", static_cast<std::uint64_t>(Body.topic())},
               {"e", Body.page().end().offset().value()},
               {"era", Body.page().end().era()},
               {"r", std::move(Records)}};
  if (Body.page().holdsAllKeys())
    Json["all"] = true;
  if (Body.age())
    Json["a"] = static_cast<std::uint64_t>(Body.age()->count());
  return Json;
}

body_result bluebellkeel::viewAnswerFromJson(const json &Json) {
  field_reader Fields(Json);
  keyed_topic Topic = topicFrom(Fields);
  log_offset End(Fields.number("e"));
  std::uint64_t Era = eraFrom(Fields, "era");
  std::vector<keyed_record> Records;
  for (const auto &Item : Fields.array("r")) {
    field_reader Record(Item);
    std::string Key = Record.text("k");
    std::string Value = Record.text("v");
    log_offset Offset(Record.number("o"));
    if (Record.failed())
      Fields.fail(Record.error().message());
    // All records of a view are of the era of its end.
    Records.emplace_back(Key, Value, log_position(Era, Offset));
  }
  // Earlier releases send neither of these fields.
  bool All = !Fields.optional("all").is_null() && Fields.flag("all");
  auto Age = viewAgeFrom(Fields, "a");
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  auto Scope = All ? keyed_page::scope::AllKeys : keyed_page::scope::Changes;
  return peer_body(view_answer(
      Topic, keyed_page(std::move(Records), log_position(Era, End), Scope),
      Age));
}
