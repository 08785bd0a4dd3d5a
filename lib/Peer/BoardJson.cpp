#include "BoardJson.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

using body_result = tl::expected<peer_body, codec_error>;

/// Limits on what a message may contain.
static constexpr std::size_t MaxUpstreams = 8192;
static constexpr std::size_t MaxContributions = 4096;
static constexpr std::uint64_t MaxAgeMs = 60000;
static constexpr std::uint64_t MaxCount = 1000000;
static constexpr std::uint64_t MaxPrefill = 1ULL << 48U;

/// Time factors are sent in thousandths; 0 stands for none.
static constexpr double FactorScale = 1000;
static constexpr std::uint64_t MaxScaledFactor = 1000000;

namespace {

/// The upstreams that a message names, each written once.
class upstream_index {
public:
  std::size_t of(const upstream_id &Upstream) {
    auto [Found, New] = Places.try_emplace(Upstream, Names.size());
    if (New)
      Names.push_back(Upstream.text());
    return Found->second;
  }
  json names() && { return std::move(Names); }

private:
  std::map<upstream_id, std::size_t> Places;
  json Names = json::array();
};

/// Reads a flat array of numbers; keeps the first error.
class number_list {
public:
  number_list(const json &Array, field_reader &Fields)
      : Array(Array), Fields(Fields) {}

  bool done() const { return Fields.failed() || Next >= Array.size(); }
  std::uint64_t take(std::uint64_t Max) {
    if (done() || !Array[Next].is_number_unsigned() ||
        Array[Next].get<std::uint64_t>() > Max) {
      Fields.fail("bad list of numbers");
      return 0;
    }
    return Array[Next++].get<std::uint64_t>();
  }
  /// Returns the upstream at the index that comes next in the list.
  upstream_id takeUpstream(const std::vector<upstream_id> &Upstreams) {
    std::uint64_t Place = take(MaxUpstreams);
    if (Place < Upstreams.size())
      return Upstreams[Place];
    Fields.fail("index without an upstream");
    return upstream_id();
  }

private:
  const json &Array;
  field_reader &Fields;
  std::size_t Next = 0;
};

} // namespace

static json loadsToJson(const std::vector<instance_load> &Loads,
                        upstream_index &Index) {
  json List = json::array();
  for (const auto &Load : Loads) {
    List.push_back(Index.of(Load.upstream()));
    List.push_back(Load.running());
    List.push_back(Load.prefill());
  }
  return List;
}

static json reportsToJson(const std::vector<upstream_report> &Reports,
                          upstream_index &Index) {
  json List = json::array();
  for (const auto &Report : Reports) {
    const queue_report &Queue = Report.report();
    double Factor = Queue.timeFactor().value_or(0) * FactorScale;
    List.push_back(Index.of(Report.upstream()));
    List.push_back(Queue.running());
    List.push_back(Queue.waiting());
    List.push_back(static_cast<std::uint64_t>(
        std::lround(std::min(Factor, static_cast<double>(MaxScaledFactor)))));
    List.push_back(static_cast<std::uint64_t>(Report.age().count()));
  }
  return List;
}

static std::vector<upstream_id> upstreamsFrom(field_reader &Fields) {
  std::vector<upstream_id> Upstreams;
  const json &Names = Fields.array("u");
  if (Names.size() > MaxUpstreams) {
    Fields.fail("too many upstreams");
    return Upstreams;
  }
  for (const auto &Name : Names) {
    if (!Name.is_string()) {
      Fields.fail("an upstream without a name");
      return Upstreams;
    }
    Upstreams.emplace_back(Name.get<std::string>());
  }
  return Upstreams;
}

static std::vector<instance_load>
loadsFrom(const json &Array, const std::vector<upstream_id> &Upstreams,
          field_reader &Fields) {
  std::vector<instance_load> Loads;
  number_list List(Array, Fields);
  while (!List.done()) {
    upstream_id Upstream = List.takeUpstream(Upstreams);
    std::uint64_t Running = List.take(MaxCount);
    Loads.emplace_back(Upstream, Running, List.take(MaxPrefill));
  }
  return Loads;
}

static std::vector<upstream_report>
reportsFrom(const std::vector<upstream_id> &Upstreams, field_reader &Fields) {
  std::vector<upstream_report> Reports;
  number_list List(Fields.array("r"), Fields);
  while (!List.done()) {
    upstream_id Upstream = List.takeUpstream(Upstreams);
    auto Running = static_cast<std::uint32_t>(List.take(MaxCount));
    auto Waiting = static_cast<std::uint32_t>(List.take(MaxCount));
    std::uint64_t Scaled = List.take(MaxScaledFactor);
    std::optional<double> Factor;
    if (Scaled > 0)
      Factor = static_cast<double>(Scaled) / FactorScale;
    Reports.emplace_back(Upstream, queue_report(Running, Waiting, Factor),
                         milliseconds(List.take(MaxAgeMs)));
  }
  return Reports;
}

json bluebellkeel::batchToJson(const load_batch &Batch) {
  upstream_index Index;
  json Contributions = json::array();
  for (const auto &Contribution : Batch.contributions())
    Contributions.push_back(
        {{"i", Contribution.instance().text()},
         {"n", Contribution.number()},
         {"a", static_cast<std::uint64_t>(Contribution.age().count())},
         {"l", loadsToJson(Contribution.loads(), Index)}});
  json Reports = reportsToJson(Batch.reports(), Index);
  return {{"c", std::move(Contributions)},
          {"r", std::move(Reports)},
          {"u", std::move(Index).names()}};
}

body_result bluebellkeel::batchFromJson(const json &Json) {
  field_reader Fields(Json);
  std::vector<upstream_id> Upstreams = upstreamsFrom(Fields);
  std::vector<load_contribution> Contributions;
  const json &Items = Fields.array("c");
  if (Items.size() > MaxContributions)
    Fields.fail("too many contributions");
  for (const auto &Item : Items) {
    if (Fields.failed())
      break;
    field_reader Contribution(Item);
    instance_id Instance(Contribution.text("i"));
    std::uint64_t Number = Contribution.number("n");
    milliseconds Age(Contribution.numberUpTo("a", MaxAgeMs));
    auto Loads = loadsFrom(Contribution.array("l"), Upstreams, Contribution);
    if (Contribution.failed())
      Fields.fail(Contribution.error().message());
    Contributions.emplace_back(Instance, Number, Age, std::move(Loads));
  }
  auto Reports = reportsFrom(Upstreams, Fields);
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return peer_body(load_batch(std::move(Contributions), std::move(Reports)));
}

json bluebellkeel::boardToJson(const load_board &Board) {
  upstream_index Index;
  json Totals = loadsToJson(Board.totals(), Index);
  json Reports = reportsToJson(Board.reports(), Index);
  return {{"n", Board.includedNumber()},
          {"c", Board.contributors()},
          {"t", std::move(Totals)},
          {"r", std::move(Reports)},
          {"u", std::move(Index).names()}};
}

body_result bluebellkeel::boardFromJson(const json &Json) {
  field_reader Fields(Json);
  std::vector<upstream_id> Upstreams = upstreamsFrom(Fields);
  std::uint64_t Number = Fields.number("n");
  std::uint64_t Contributors = Fields.numberUpTo("c", MaxContributions);
  auto Totals = loadsFrom(Fields.array("t"), Upstreams, Fields);
  auto Reports = reportsFrom(Upstreams, Fields);
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return peer_body(
      load_board(Number, Contributors, std::move(Totals), std::move(Reports)));
}
