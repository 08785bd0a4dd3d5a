#include "RequestTimelineCommand.h"
#include "ExitCode.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

using namespace bluebellkeel;

using nlohmann::json;

/// Returns the JSON object in \p Line, skipping any prefix that a log collector
/// added; empty if there is none.
static std::optional<json> parseObject(const std::string &Line) {
  auto Start = Line.find('{');
  if (Start == std::string::npos)
    return std::nullopt;
  auto Parsed = parseJson(std::string_view(Line).substr(Start));
  if (!Parsed || !Parsed->is_object())
    return std::nullopt;
  return *Parsed;
}

static std::string textOf(const json &Line, const char *Name) {
  auto Found = Line.find(Name);
  return Found != Line.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

static std::int64_t timeOf(const json &Line) {
  auto Found = Line.find("unix_ms");
  return Found != Line.end() && Found->is_number_integer()
             ? Found->get<std::int64_t>()
             : 0;
}

/// Appends the JSON lines of all files to \p Lines and sorts them by time.
/// Returns false and prints the file's name if a file cannot be read.
static bool readLines(const std::vector<std::string> &Files,
                      const output &Output, std::vector<json> &Lines) {
  for (const auto &Name : Files) {
    std::ifstream File(Name);
    if (!File) {
      Output.printError(Name + ": cannot be read");
      return false;
    }
    std::string Line;
    while (std::getline(File, Line)) {
      if (auto Object = parseObject(Line))
        Lines.push_back(std::move(*Object));
    }
  }
  std::stable_sort(
      Lines.begin(), Lines.end(),
      [](const json &L, const json &R) { return timeOf(L) < timeOf(R); });
  return true;
}

static std::string formatLine(const json &Line, std::int64_t Start) {
  static const std::set<std::string> Shown = {"part", "event", "unix_ms",
                                              "instance", "id"};
  std::string Message = std::to_string(timeOf(Line) - Start) + " ms  " +
                        textOf(Line, "instance") + "  " + textOf(Line, "part") +
                        "/" + textOf(Line, "event");
  for (const auto &[Name, Value] : Line.items()) {
    if (Shown.count(Name) == 0)
      Message += "  " + Name + "=" +
                 (Value.is_string() ? Value.get<std::string>() : Value.dump());
  }
  return Message;
}

int request_timeline_command::run(const std::string &RequestId,
                                  const std::vector<std::string> &Files) const {
  std::vector<json> Lines;
  if (!readLines(Files, Output, Lines))
    return static_cast<int>(exit_code::BadUsage);
  std::set<std::string> Upstreams;
  std::set<std::string> Instances;
  std::optional<std::int64_t> First;
  std::int64_t Last = 0;
  for (const auto &Line : Lines) {
    if (textOf(Line, "id") != RequestId)
      continue;
    First = First.value_or(timeOf(Line));
    Last = timeOf(Line);
    Upstreams.insert(textOf(Line, "upstream"));
    Instances.insert(textOf(Line, "instance"));
  }
  if (!First) {
    Output.printError("no log line has the request id " + RequestId);
    return static_cast<int>(exit_code::Refused);
  }
  for (const auto &Line : Lines) {
    bool NamesRequest = textOf(Line, "id") == RequestId;
    bool InTimeRange =
        timeOf(Line) >= *First - LookBackMs && timeOf(Line) <= Last;
    bool UpstreamEvent = InTimeRange && Line.find("id") == Line.end() &&
                         Instances.count(textOf(Line, "instance")) > 0 &&
                         (Line.find("upstream") == Line.end() ||
                          Upstreams.count(textOf(Line, "upstream")) > 0);
    if (NamesRequest || UpstreamEvent)
      Output.printMessage(formatLine(Line, *First));
  }
  return static_cast<int>(exit_code::Success);
}
