#include "SettingsCheck.h"
#include <algorithm>

using namespace bluebellkeel;

/// Maximum time from the store's confirmation of a configuration until it is in
/// force.
static constexpr milliseconds ApplyLimit{2000};

/// Allowance for the transmission of the probe.
static constexpr milliseconds Margin{300};

static bool knowsVersion(const soak_attempt &Probe) {
  return Probe.status() == 200 || Probe.status() >= 500;
}

static std::vector<soak_attempt> probesOf(const soak_history &History) {
  std::vector<soak_attempt> Probes;
  for (const auto &Attempt : History.Attempts) {
    // A 503 refusal does not show whether the version is in force.
    if (Attempt.kind() == request_kind::Probe && Attempt.status() != 0 &&
        Attempt.status() != 503)
      Probes.push_back(Attempt);
  }
  return Probes;
}

static bool wasReverted(const soak_attempt &Probe,
                        const std::vector<soak_attempt> &Probes) {
  return std::any_of(
      Probes.begin(), Probes.end(), [&Probe](const soak_attempt &Earlier) {
        return Earlier.gateway() == Probe.gateway() &&
               Earlier.incarnation() == Probe.incarnation() &&
               Earlier.ended() < Probe.sent() && knowsVersion(Earlier) &&
               Earlier.version() >= Probe.version();
      });
}

static bool isLate(const soak_attempt &Probe, const soak_history &History) {
  auto Confirmed = History.Versions.find(Probe.version());
  if (Confirmed == History.Versions.end())
    return false;
  milliseconds Deadline = Confirmed->second + ApplyLimit;
  return Probe.sent() > Deadline + Margin &&
         !History.mayBeAffected(Probe.gateway(), Confirmed->second,
                                Probe.sent());
}

std::vector<std::string>
settings_check::violations(const soak_history &History) const {
  std::vector<std::string> Lines;
  auto Probes = probesOf(History);
  for (const auto &Probe : Probes) {
    if (Probe.status() != 404)
      continue;
    std::string Prefix = Probe.id() + ": gateway " +
                         std::to_string(Probe.gateway()) + " version " +
                         std::to_string(Probe.version());
    if (wasReverted(Probe, Probes))
      Lines.push_back(Prefix + " is no longer in force");
    else if (isLate(Probe, History))
      Lines.push_back(Prefix + " is not in force in time");
  }
  return Lines;
}
