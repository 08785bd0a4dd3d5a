#include "bluebellkeel/Startup/GatewaySettingsReader.h"
#include "ObjectReader.h"
#include "bluebellkeel/Codec/JsonText.h"
#include <cmath>

using namespace bluebellkeel;

/// Shortest key that is accepted, in bytes.
static constexpr std::size_t MinKeyBytes = 16;

/// Largest count and longest time that a setting may have.
static constexpr double MaxCount = 1e6;
static constexpr double HourInSeconds = 3600;

/// Default, smallest and largest memory setting, in MiB.
static constexpr std::uint64_t DefaultMemoryMb = 256;
static constexpr std::uint64_t MinMemoryMb = 16;
static constexpr std::uint64_t MaxMemoryMb = 1UL << 20;

/// Default, shortest and longest time in which a change takes effect. Within it
/// a read that the log dropped has to be detected, which takes the response
/// timeout and a third of the apply time, and repeated.
static constexpr std::uint64_t DefaultApplyMs = 2000;
static constexpr std::uint64_t MinApplyMs = 1500;
static constexpr std::uint64_t MaxApplyMs = 3600000;

/// Default, shortest and longest interval between two renewals of a
/// registration.
static constexpr std::uint64_t DefaultRenewMs = 1200;
static constexpr std::uint64_t MinRenewMs = 10;
static constexpr std::uint64_t MaxRenewMs = 3600000;

static milliseconds secondsOf(object_reader &Reader, const char *Name) {
  constexpr double MillisPerSecond = 1000;
  double Seconds = Reader.real(Name, 0, HourInSeconds);
  return milliseconds(std::lround(Seconds * MillisPerSecond));
}

static milliseconds applyTimeOf(object_reader &Reader, const char *Name) {
  return milliseconds(
      Reader.numberOr(Name, DefaultApplyMs, MinApplyMs, MaxApplyMs));
}

static void readListen(object_reader &Root, gateway_settings &Settings) {
  object_reader Listen = Root.object("listen", /*Required=*/true);
  Settings.CallerAddress = Listen.address("callers");
  Settings.ReadyAddress = Listen.address("ready");
  Settings.DirectoryAddress = Listen.address("directory");
  Settings.PeerAddress = Listen.address("peers");
  Settings.MetricsAddress = Listen.address("metrics");
  Listen.finish();
}

static void readPeers(object_reader &Root, gateway_settings &Settings) {
  object_reader Peers = Root.object("peers", /*Required=*/true);
  Settings.Reloadable.Seeds = Peers.addresses("seeds");
  Settings.PeerKey = Peers.text("key", MinKeyBytes);
  Peers.finish();
}

static void readRules(object_reader &Root, reloadable_settings &Settings) {
  object_reader Reloadable = Root.object("rules", /*Required=*/true);
  Settings.RetryRatio = Reloadable.real("retry_ratio", 0, MaxCount);
  Settings.RetrySlack = Reloadable.real("retry_slack", 0, MaxCount);
  Settings.RetryWindow = secondsOf(Reloadable, "retry_window_s");
  Settings.TrialShare = Reloadable.real("trial_share", 0, 1);
  Settings.Grace = secondsOf(Reloadable, "grace_s");
  Settings.SettingsApplyTime = applyTimeOf(Reloadable, "settings_apply_ms");
  Settings.UpstreamsApplyTime = applyTimeOf(Reloadable, "upstreams_apply_ms");
  Settings.UpstreamsRenewInterval = milliseconds(Reloadable.numberOr(
      "upstreams_renew_ms", DefaultRenewMs, MinRenewMs, MaxRenewMs));
  Settings.DirectoryTtl = secondsOf(Reloadable, "advice_life_s");
  Reloadable.ignore("session_life_s");
  Reloadable.finish();
}

/// Shortest and longest lease and window of usage. A holder needs some answers
/// of the platform within half a lease.
static constexpr std::uint64_t MinDutyMs = 1000;
static constexpr std::uint64_t MaxDutyMs = 3600000;
static constexpr std::uint64_t DefaultLeaseMs = 3000;
static constexpr std::uint64_t DefaultWindowMs = 60000;

static std::optional<duty_settings> readDuties(object_reader &Root) {
  if (!Root.has("duties"))
    return std::nullopt;
  object_reader Reader = Root.object("duties", /*Required=*/true);
  duty_settings Duties;
  Duties.Address = Reader.address("address");
  Duties.Lease = milliseconds(
      Reader.numberOr("lease_ms", DefaultLeaseMs, MinDutyMs, MaxDutyMs));
  Duties.UsageWindow = milliseconds(Reader.numberOr(
      "usage_window_ms", DefaultWindowMs, MinDutyMs, MaxDutyMs));
  Duties.UsageDelay = milliseconds(
      Reader.numberOr("usage_delay_ms", DefaultWindowMs, MinDutyMs, MaxDutyMs));
  Reader.finish();
  return Duties;
}

tl::expected<gateway_settings, std::vector<settings_error>>
bluebellkeel::readGatewaySettings(std::string_view Text) {
  std::vector<settings_error> Errors;
  auto Json = parseJson(Text, /*Comments=*/true);
  if (!Json) {
    Errors.emplace_back("/", "JSON with comments", Json.error().message());
    return tl::unexpected(Errors);
  }
  gateway_settings Settings;
  object_reader Root(*Json, "", Errors);
  Settings.Instance = instance_id(Root.text("instance", 1));
  Settings.DataCentre = data_centre_id(Root.text("data_centre", 1));
  Settings.LogAddress = Root.address("log");
  readListen(Root, Settings);
  readPeers(Root, Settings);
  readRules(Root, Settings.Reloadable);
  Settings.Duties = readDuties(Root);
  constexpr std::size_t Megabyte = 1UL << 20;
  Settings.Memory =
      Root.numberOr("memory_mb", DefaultMemoryMb, MinMemoryMb, MaxMemoryMb) *
      Megabyte;
  Settings.LogLevel =
      Root.choiceOr("log_level", "info", {"debug", "info", "warn", "error"});
  Root.finish();
  if (!Errors.empty())
    return tl::unexpected(Errors);
  return Settings;
}
