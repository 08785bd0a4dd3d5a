#include "ResponseCheck.h"
#include <cstdlib>
#include <optional>
#include <sstream>

using namespace bluebellkeel;

static constexpr int Events = 20;

/// Returns the event ids in the body of a stream.
static std::vector<int> eventNumbersIn(const std::string &Body) {
  std::vector<int> Numbers;
  std::istringstream Lines(Body);
  for (std::string Line; std::getline(Lines, Line);) {
    if (Line.rfind("id: ", 0) == 0)
      Numbers.push_back(std::atoi(Line.c_str() + 4));
  }
  return Numbers;
}

static std::optional<std::string> violationIn(const soak_attempt &Attempt) {
  bool RouteRejected = Attempt.status() == 404 || Attempt.status() == 401;
  if (RouteRejected && Attempt.kind() != request_kind::Probe)
    return "got " + std::to_string(Attempt.status()) + " on a known route";
  if (Attempt.status() != 200)
    return std::nullopt;
  if (Attempt.responseRequestId() != Attempt.id())
    return "got the answer of " + Attempt.responseRequestId();
  if (Attempt.kind() != request_kind::Stream)
    return Attempt.complete() && Attempt.body() != "done"
               ? std::optional<std::string>("got an unexpected body")
               : std::nullopt;
  auto Numbers = eventNumbersIn(Attempt.body());
  for (std::size_t I = 0; I < Numbers.size(); ++I) {
    if (Numbers[I] != static_cast<int>(I) + 1)
      return "got event " + std::to_string(Numbers[I]) + " at position " +
             std::to_string(I + 1);
  }
  if (Attempt.complete() && Numbers.size() != Events)
    return "ended normally after " + std::to_string(Numbers.size()) + " events";
  return std::nullopt;
}

std::vector<std::string>
response_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  for (const auto &Attempt : History.Attempts) {
    if (auto Violation = violationIn(Attempt))
      Lines.push_back(Attempt.id() + " " + *Violation);
  }
  return Lines;
}
