#include "Output.h"
#include <iostream>

using namespace bluebellkeel;

using nlohmann::json;

static std::string toText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

static void showFields(const json &Object, const std::string &Separator) {
  std::string Line;
  for (const auto &[Name, Value] : Object.items())
    Line += (Line.empty() ? "" : Separator) + Name + "=" + toText(Value);
  std::cout << Line << "\n";
}

void output::showAsText(const json &Value, const std::string &ListName) const {
  if (!Value.is_object() || !Value.contains(ListName)) {
    showFields(Value, "\n");
    return;
  }
  for (const auto &[Name, Item] : Value.items()) {
    if (Name != ListName)
      std::cout << Name << ": " << toText(Item) << "\n";
  }
  const json &List = Value[ListName];
  if (List.is_object()) {
    showFields(List, "\n");
    return;
  }
  for (const auto &Item : List) {
    if (Item.is_object())
      showFields(Item, " ");
    else
      std::cout << toText(Item) << "\n";
  }
}

void output::showError(const admin_reply &Reply) const {
  if (Reply.Code == exit_code::Unreachable) {
    printError("no instance answered");
    return;
  }
  if (Reply.Json.contains("error")) {
    const json &Error = Reply.Json["error"];
    printError(Error.value("code", "") + ": " + Error.value("message", ""));
    return;
  }
  std::string Verdict = Reply.Json.value("verdict", "in doubt");
  std::string Winner = Reply.Json.value("winner", "");
  if (!Winner.empty())
    Verdict += ": change " + Winner + " came first; read the settings again";
  printError(Verdict);
  for (const auto &SettingError : Reply.Json.value("errors", json::array()))
    printError(SettingError.value("path", "") + ": expected " +
               SettingError.value("expected", "") + ", found " +
               SettingError.value("found", ""));
}

int output::show(const admin_reply &Reply, const std::string &ListName) const {
  if (Json)
    std::cout << Reply.Json.dump() << "\n";
  else if (Reply.Code == exit_code::Success)
    showAsText(Reply.Json, ListName);
  else
    showError(Reply);
  return static_cast<int>(Reply.Code);
}

void output::printMessage(const std::string &Message) const {
  if (Json)
    std::cout << json{{"message", Message}}.dump() << "\n";
  else
    std::cout << Message << "\n";
}

void output::printError(const std::string &Message) const {
  std::cerr << "bluebellkeelctl: " << Message << "\n";
}
