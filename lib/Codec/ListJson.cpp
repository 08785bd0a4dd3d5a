#include "bluebellkeel/Codec/FieldReader.h"
#include "bluebellkeel/Codec/JsonConversion.h"

using namespace bluebellkeel;

using nlohmann::json;

static network_address addressFrom(field_reader &Fields, const char *Name) {
  std::string Text = Fields.text(Name);
  auto Address = network_address::parse(Text);
  if (!Address && !Fields.failed())
    Fields.fail(std::string(Name) + ": expected host:port, found \"" + Text +
                "\"");
  return Address.value_or(network_address());
}

static bool leavingFrom(field_reader &Fields) {
  std::string State = Fields.text("state");
  if (State != "live" && State != "leaving")
    Fields.fail("state: expected live or leaving, found \"" + State + "\"");
  return State == "leaving";
}

json bluebellkeel::toJson(const instance_record &Record) {
  return {{"kind", "instance"},
          {"id", Record.id().text()},
          {"data_centre", Record.dataCentre().text()},
          {"address", Record.callerAddress().text()},
          {"peer_address", Record.peerAddress().text()},
          {"state", std::string(toString(Record.state()))}};
}

decoded<instance_record> bluebellkeel::instanceRecordFrom(const json &Json) {
  field_reader Fields(Json);
  instance_id Id(Fields.text("id"));
  data_centre_id DataCentre(Fields.text("data_centre"));
  network_address Caller = addressFrom(Fields, "address");
  network_address Peer = addressFrom(Fields, "peer_address");
  bool Leaving = leavingFrom(Fields);
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return instance_record(Id, DataCentre, Caller, Peer,
                         Leaving ? instance_state::Leaving
                                 : instance_state::Live);
}

json bluebellkeel::toJson(const load_amount &Amount) {
  return {{"requests", Amount.requests()}, {"tokens", Amount.tokens()}};
}

decoded<load_amount> bluebellkeel::loadAmountFrom(const json &Json) {
  constexpr std::uint64_t MaxRequests = 100000;
  field_reader Fields(Json);
  std::uint64_t Requests = Fields.number("requests");
  std::uint64_t Tokens = Fields.number("tokens");
  if (Requests > MaxRequests)
    Fields.fail("requests: expected at most 100000");
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return load_amount(static_cast<std::uint32_t>(Requests), Tokens);
}

json bluebellkeel::toJson(const load_report &Report) {
  return {{"warm", Report.warm()}, {"held", toJson(Report.load())}};
}

decoded<load_report> bluebellkeel::loadReportFrom(const json &Json) {
  field_reader Fields(Json);
  bool Warm = Fields.flag("warm");
  auto Load = loadAmountFrom(Fields.optional("held"));
  if (!Load)
    Fields.fail("held: " + Load.error().message());
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return load_report(Warm, *Load);
}

json bluebellkeel::toJson(const upstream_record &Record) {
  return {{"kind", std::string(toString(Record.kind()))},
          {"id", Record.id().text()},
          {"data_centre", Record.dataCentre().text()},
          {"address", Record.address().text()},
          {"pool", Record.pool().text()},
          {"state", Record.leaving() ? "leaving" : "live"},
          {"warm", toJson(Record.warm())},
          {"cold", toJson(Record.cold())}};
}

decoded<upstream_record> bluebellkeel::upstreamRecordFrom(const json &Json) {
  field_reader Fields(Json);
  std::string Kind = Fields.text("kind");
  if (Kind != "engine" && Kind != "service")
    Fields.fail("kind: expected engine or service, found \"" + Kind + "\"");
  upstream_id Id(Fields.text("id"));
  data_centre_id DataCentre(Fields.text("data_centre"));
  network_address Address = addressFrom(Fields, "address");
  pool_id Pool(Fields.text("pool"));
  bool Leaving = leavingFrom(Fields);
  auto Warm = loadAmountFrom(Fields.optional("warm"));
  auto Cold = loadAmountFrom(Fields.optional("cold"));
  if (!Warm)
    Fields.fail("warm: " + Warm.error().message());
  if (!Cold)
    Fields.fail("cold: " + Cold.error().message());
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return upstream_record(Id, DataCentre, Address,
                         Kind == "engine" ? upstream_kind::Engine
                                          : upstream_kind::Service,
                         Pool, Leaving, *Warm, *Cold);
}
