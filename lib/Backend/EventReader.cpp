#include "EventReader.h"

using namespace bluebellkeel;

static constexpr std::string_view DataField = "data:";

std::optional<std::string> event_reader::next() {
  std::size_t Start = 0;
  std::optional<std::string> Data;
  while (!Data) {
    auto End = Pending.find('\n', Start);
    if (End == std::string::npos)
      break;
    std::string_view Line(Pending.data() + Start, End - Start);
    Start = End + 1;
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    if (Line.substr(0, DataField.size()) != DataField)
      continue;
    Line.remove_prefix(DataField.size());
    if (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    Data = std::string(Line);
  }
  Pending.erase(0, Start);
  return Data;
}
