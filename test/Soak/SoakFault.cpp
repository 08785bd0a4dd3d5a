#include "SoakFault.h"
#include <array>

using namespace bluebellkeel;

bool soak_fault::affectsGateway(int Gateway) const {
  if (Kind == fault_kind::PauseStore || Kind == fault_kind::RestoreStore)
    return true;
  return Target == Gateway &&
         (Kind == fault_kind::PauseGateway || Kind == fault_kind::KillGateway ||
          Kind == fault_kind::StopGateway || Kind == fault_kind::StoreLink);
}

std::string soak_fault::text() const {
  static constexpr std::array<const char *, 13> Kinds = {
      "pause gateway", "kill gateway", "stop gateway", "pause runner",
      "kill runner",   "store link",   "runner link",  "pause store",
      "drop reads",    "limit runner", "leave runner", "refuse requests",
      "restore store"};
  static constexpr std::array<const char *, 6> Modes = {
      "pass", "delay", "reset", "lose requests", "lose answers", "silent"};
  std::string Text = std::to_string(Start.count()) + " to " +
                     std::to_string(end().count()) +
                     " ms: " + Kinds.at(static_cast<std::size_t>(Kind)) + " " +
                     std::to_string(Target);
  if (Kind == fault_kind::StoreLink || Kind == fault_kind::RunnerLink)
    Text += std::string(", ") + Modes.at(static_cast<std::size_t>(Mode));
  return Text;
}
