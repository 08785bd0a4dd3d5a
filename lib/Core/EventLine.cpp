#include "bluebellkeel/Core/EventLine.h"
#include "absl/strings/str_format.h"

using namespace bluebellkeel;

static void appendQuoted(std::string &Out, std::string_view Text) {
  constexpr char FirstPrintable = 0x20;
  Out.push_back('"');
  for (char Char : Text) {
    if (Char == '"' || Char == '\\') {
      Out.push_back('\\');
      Out.push_back(Char);
    } else if (Char >= 0 && Char < FirstPrintable) {
      absl::StrAppendFormat(&Out, "\\u%04x", static_cast<unsigned>(Char));
    } else {
      Out.push_back(Char);
    }
  }
  Out.push_back('"');
}

event_line::event_line(std::string_view Part, std::string_view Event)
    : Fields("{") {
  add("part", Part);
  add("event", Event);
}

void event_line::name(std::string_view Name) {
  if (Fields.size() > 1)
    Fields.push_back(',');
  appendQuoted(Fields, Name);
  Fields.push_back(':');
}

event_line &event_line::add(std::string_view Name, std::string_view Value) {
  name(Name);
  appendQuoted(Fields, Value);
  return *this;
}

event_line &event_line::add(std::string_view Name, std::int64_t Value) {
  name(Name);
  Fields += std::to_string(Value);
  return *this;
}

event_line &event_line::add(std::string_view Name, bool Value) {
  name(Name);
  Fields += Value ? "true" : "false";
  return *this;
}
