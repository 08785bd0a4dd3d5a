#include "SettingsCommands.h"
#include "bluebellkeel/Codec/JsonText.h"
#include "bluebellkeel/Core/SystemRandom.h"
#include <fstream>
#include <iostream>
#include <sstream>

using namespace bluebellkeel;

using nlohmann::json;

/// Parses \p Text as JSON; returns it as a string if it is not valid JSON.
static json valueFrom(const std::string &Text) {
  return parseJson(Text).value_or(json(Text));
}

int settings_commands::get(const std::string &Path) const {
  return Output.show(Client.get("/admin/settings?path=" + Path), "values");
}

int settings_commands::history() const {
  return Output.show(Client.get("/admin/history"), "changes");
}

/// Uses the team's current revision as the base if the operator gave none.
int settings_commands::change(const edit_list &Edits, bool DryRun) const {
  std::uint64_t BaseRevision = 0;
  if (Base) {
    BaseRevision = *Base;
  } else {
    admin_reply Current = Client.get("/admin/settings?path=/none");
    if (Current.Code != exit_code::Success)
      return Output.show(Current, "");
    std::string Team = Current.Json.value("team", "");
    BaseRevision = Current.Json["revisions"].value(Team, std::uint64_t(0));
  }
  system_random Random;
  json Body = {{"id", ChangeId.empty() ? Random.hexToken() : ChangeId},
               {"base", BaseRevision},
               {"edits", Edits},
               {"dry_run", DryRun}};
  admin_reply Reply = Client.post("/admin/settings", Body.dump());
  if (Reply.Code == exit_code::InDoubt)
    Output.printError("send it again with --id=" +
                      Body["id"].get<std::string>());
  return Output.show(Reply, "");
}

int settings_commands::put(const std::string &Path, const std::string &Value,
                           bool DryRun) const {
  json Edit = {{"path", Path}, {"value", valueFrom(Value)}};
  return change(json::array({Edit}), DryRun);
}

int settings_commands::remove(const std::string &Path) const {
  return change(json::array({json{{"path", Path}}}), /*DryRun=*/false);
}

std::optional<json> settings_commands::readFile(const std::string &File) const {
  std::ifstream Stream(File);
  std::stringstream Text;
  Text << Stream.rdbuf();
  auto Json = parseJson(Text.str(), /*Comments=*/true);
  if (Stream && Json && Json->is_object())
    return *Json;
  Output.printError(File + ": expected a JSON object of values by path" +
                    (Json ? "" : ": " + Json.error().message()));
  return std::nullopt;
}

int settings_commands::putFile(const std::string &File, bool DryRun) const {
  auto Values = readFile(File);
  if (!Values)
    return static_cast<int>(exit_code::BadUsage);
  json Edits = json::array();
  for (const auto &[Path, Value] : Values->items())
    Edits.push_back({{"path", Path}, {"value", Value}});
  return change(Edits, DryRun);
}

int settings_commands::diff(const std::string &File) const {
  auto Values = readFile(File);
  if (!Values)
    return static_cast<int>(exit_code::BadUsage);
  admin_reply Current = Client.get("/admin/settings?path=/");
  if (Current.Code != exit_code::Success)
    return Output.show(Current, "");
  const json &CurrentValues = Current.Json["values"];
  for (const auto &[Path, Value] : Values->items()) {
    json Found = CurrentValues.contains(Path) ? CurrentValues[Path] : json();
    if (Found == Value)
      continue;
    if (!Found.is_null())
      std::cout << "- " << Path << " " << Found.dump() << "\n";
    std::cout << "+ " << Path << " " << Value.dump() << "\n";
  }
  return static_cast<int>(exit_code::Success);
}

int settings_commands::putVersion(const std::string &Version,
                                  const std::string &Field,
                                  const std::string &Value) const {
  admin_reply Current = Client.get("/admin/settings?path=/");
  if (Current.Code != exit_code::Success)
    return Output.show(Current, "");
  std::string Team = Current.Json.value("team", "");
  std::string Path = "/" + Team + "/versions/" + Version + "/" + Field;
  return put(Path, Value, /*DryRun=*/false);
}
