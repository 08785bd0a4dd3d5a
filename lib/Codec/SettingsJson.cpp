#include "bluebellkeel/Codec/FieldReader.h"
#include "bluebellkeel/Codec/JsonConversion.h"
#include "bluebellkeel/Settings/SettingsSchema.h"

using namespace bluebellkeel;

using nlohmann::json;

json bluebellkeel::toJson(const setting_value &Value) {
  return std::visit([](const auto &Alternative) { return json(Alternative); },
                    Value.asVariant());
}

decoded<setting_value> bluebellkeel::settingValueFrom(const json &Json) {
  if (Json.is_boolean())
    return setting_value(Json.get<bool>());
  if (Json.is_number())
    return setting_value(Json.get<double>());
  if (Json.is_string())
    return setting_value(Json.get<std::string>());
  if (!Json.is_array())
    return tl::unexpected(
        codec_error("expected a flag, a number, a text or a list of texts"));
  setting_value::text_list List;
  for (const auto &Item : Json) {
    if (!Item.is_string())
      return tl::unexpected(codec_error("expected a list of texts"));
    List.push_back(Item.get<std::string>());
  }
  return setting_value(std::move(List));
}

json bluebellkeel::toJson(const settings_change &Change) {
  json Edits = json::array();
  for (const auto &Edit : Change.edits()) {
    json Object = {{"path", Edit.path().text()}};
    if (Edit.value())
      Object["value"] = toJson(*Edit.value());
    Edits.push_back(std::move(Object));
  }
  return {{"kind", "change"},
          {"id", Change.id()},
          {"team", Change.team().text()},
          {"base", Change.baseRevision().value()},
          {"edits", std::move(Edits)}};
}

static decoded<setting_edit> settingEditFrom(const json &Json) {
  field_reader Fields(Json);
  std::string PathText = Fields.text("path");
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  auto Path = settings_path::parse(PathText);
  if (!Path)
    return tl::unexpected(
        codec_error("path: expected /segment/..., found \"" + PathText + "\""));
  if (Fields.optional("value").is_null())
    return setting_edit(*Path, std::nullopt);
  auto Value = settingValueFrom(Fields.optional("value"));
  if (!Value)
    return tl::unexpected(
        codec_error(PathText + ": " + Value.error().message()));
  return setting_edit(*Path, *Value);
}

decoded<settings_change> bluebellkeel::settingsChangeFrom(const json &Json) {
  field_reader Fields(Json);
  std::string Id = Fields.text("id");
  team_id Team(Fields.text("team"));
  log_offset Base(Fields.number("base"));
  std::vector<setting_edit> Edits;
  for (const auto &Item : Fields.array("edits")) {
    auto Edit = settingEditFrom(Item);
    if (!Edit) {
      Fields.fail(Edit.error().message());
      break;
    }
    Edits.push_back(*Edit);
  }
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return settings_change(Id, Team, Base, std::move(Edits));
}

json bluebellkeel::toJson(const settings_state &State) {
  json Values = json::object();
  for (const auto &[Path, Value] : State.values())
    Values[Path.text()] = toJson(Value);
  json Revisions = json::object();
  for (const auto &[Team, Revision] : State.revisions())
    Revisions[Team.text()] = {{"offset", Revision.offset().value()},
                              {"change", Revision.changeId()}};
  return {{"kind", "snapshot"},
          {"applied", State.applied().value()},
          {"values", std::move(Values)},
          {"revisions", std::move(Revisions)}};
}

static bool readValues(const json &Json, settings_state::value_map &Values) {
  if (!Json.is_object())
    return false;
  for (const auto &[PathText, Item] : Json.items()) {
    auto Path = settings_path::parse(PathText);
    auto Value = settingValueFrom(Item);
    if (!Path || !Value)
      return false;
    // Values in a snapshot must satisfy the same schema as those in a change.
    if (checkEdit(setting_edit(*Path, *Value)))
      return false;
    Values[*Path] = *Value;
  }
  return true;
}

static bool readRevisions(const json &Json,
                          settings_state::revision_map &Revisions) {
  if (!Json.is_object())
    return false;
  for (const auto &[Team, Item] : Json.items()) {
    field_reader Fields(Item);
    log_offset Offset(Fields.number("offset"));
    std::string Change = Fields.text("change");
    if (Fields.failed())
      return false;
    Revisions[team_id(Team)] = subtree_revision(Offset, Change);
  }
  return true;
}

decoded<settings_state> bluebellkeel::settingsStateFrom(const json &Json) {
  field_reader Fields(Json);
  log_offset Applied(Fields.number("applied"));
  settings_state::value_map Values;
  settings_state::revision_map Revisions;
  if (!readValues(Fields.optional("values"), Values))
    Fields.fail("values: expected settings by path");
  if (!readRevisions(Fields.optional("revisions"), Revisions))
    Fields.fail("revisions: expected revisions by team");
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return settings_state(Applied, std::move(Values), std::move(Revisions));
}

json bluebellkeel::toJson(const settings_record &Record) {
  if (const auto *Change = std::get_if<settings_change>(&Record))
    return toJson(*Change);
  return toJson(std::get<settings_snapshot>(Record).state());
}

decoded<settings_record> bluebellkeel::settingsRecordFrom(const json &Json) {
  field_reader Fields(Json);
  std::string Kind = Fields.text("kind");
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  if (Kind == "change")
    return settingsChangeFrom(Json).map(
        [](settings_change Change) { return settings_record(Change); });
  if (Kind == "snapshot")
    return settingsStateFrom(Json).map([](settings_state State) {
      return settings_record(settings_snapshot(std::move(State)));
    });
  return tl::unexpected(codec_error("kind: expected change or snapshot"));
}

std::string_view bluebellkeel::toString(change_outcome::verdict Verdict) {
  switch (Verdict) {
  case change_outcome::verdict::Accepted:
    return "accepted";
  case change_outcome::verdict::Conflict:
    return "conflict";
  case change_outcome::verdict::Forbidden:
    return "forbidden";
  case change_outcome::verdict::Invalid:
    return "invalid";
  }
  return "";
}

json bluebellkeel::toJson(const change_outcome &Outcome) {
  json Errors = json::array();
  for (const auto &Error : Outcome.errors())
    Errors.push_back({{"path", Error.path()},
                      {"expected", Error.expected()},
                      {"found", Error.found()}});
  return {{"change", Outcome.changeId()},
          {"offset", Outcome.offset().value()},
          {"verdict", std::string(toString(Outcome.result()))},
          {"winner", Outcome.winner()},
          {"errors", std::move(Errors)}};
}
