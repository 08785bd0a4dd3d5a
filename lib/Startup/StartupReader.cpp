#include "bluebellkeel/Startup/StartupReader.h"
#include "ObjectReader.h"
#include "bluebellkeel/Codec/JsonText.h"

using namespace bluebellkeel;

/// Shortest key that is accepted, in bytes.
static constexpr std::size_t MinKeyBytes = 16;

static void readListen(object_reader &Root, startup_settings &Settings) {
  object_reader Listen = Root.object("listen", /*Required=*/true);
  Settings.CallerAddress = Listen.address("callers");
  Settings.PeerAddress = Listen.address("peers");
  Listen.finish();
}

static void readPlatform(object_reader &Root, startup_settings &Settings) {
  object_reader Platform = Root.object("platform", /*Required=*/true);
  network_address Log = Platform.address("log");
  network_address List = Platform.address("list");
  std::string UseRater = Platform.choiceOr("rating", "off", {"on", "off"});
  std::optional<network_address> Rater;
  if (UseRater == "on")
    Rater = Platform.optionalAddress("rater");
  Settings.Platform = platform_addresses(Log, List, Rater);
  Platform.finish();
}

static void readKeys(object_reader &Root, startup_settings &Settings) {
  object_reader Keys = Root.object("keys", /*Required=*/true);
  Settings.SigningKey = Keys.text("signing", MinKeyBytes);
  Settings.PeerKey = Keys.text("peer", MinKeyBytes);
  Keys.finish();
}

static void readTeams(object_reader &Root, startup_settings &Settings) {
  for (auto &Team : Root.objects("teams")) {
    team_id Name(Team.text("name", 1));
    Settings.Teams.emplace_back(Name, Team.text("key", MinKeyBytes));
    Team.finish();
  }
}

static void readLimits(object_reader &Root, startup_limits &Limits) {
  constexpr std::uint64_t Hour = 3600;
  constexpr std::uint64_t HourMs = Hour * 1000;
  object_reader Reader = Root.object("limits", /*Required=*/false);
  auto Number = [&](const char *Name, std::size_t &Value, std::uint64_t Low,
                    std::uint64_t High) {
    Value = Reader.numberOr(Name, Value, Low, High);
  };
  auto Millis = [&](const char *Name, milliseconds &Value, std::uint64_t Low) {
    Value = milliseconds(Reader.numberOr(
        Name, static_cast<std::uint64_t>(Value.count()), Low, HourMs));
  };
  auto Seconds = [&](const char *Name, seconds &Value, std::uint64_t Low) {
    Value = seconds(Reader.numberOr(
        Name, static_cast<std::uint64_t>(Value.count()), Low, Hour));
  };
  Number("threads", Limits.Threads, 1, 64);
  Number("connections", Limits.Connections, 1, 100000);
  Number("body_bytes", Limits.BodyBytes, 1024, 64UL * 1024 * 1024);
  Millis("caller_write_ms", Limits.CallerWrite, 10);
  Millis("connect_ms", Limits.Connect, 10);
  Millis("first_byte_ms", Limits.FirstByte, 10);
  Millis("between_tokens_ms", Limits.BetweenTokens, 10);
  Millis("admission_wait_ms", Limits.AdmissionWait, 0);
  Millis("claim_patience_ms", Limits.ClaimTimeout, 10);
  Millis("append_interval_ms", Limits.AppendInterval, 1);
  Seconds("ticket_lifetime_s", Limits.TicketLifetime, 1);
  Seconds("snapshot_interval_s", Limits.SnapshotInterval, 1);
  Seconds("drain_s", Limits.Drain, 0);
  Reader.finish();
}

tl::expected<startup_settings, std::vector<settings_error>>
bluebellkeel::readStartupSettings(std::string_view Text) {
  std::vector<settings_error> Errors;
  auto Json = parseJson(Text, /*Comments=*/true);
  if (!Json) {
    Errors.emplace_back("/", "JSON with comments", Json.error().message());
    return tl::unexpected(Errors);
  }
  startup_settings Settings;
  object_reader Root(*Json, "", Errors);
  Settings.Instance = instance_id(Root.text("instance", 1));
  Settings.DataCentre = data_centre_id(Root.text("data_centre", 1));
  readListen(Root, Settings);
  readPlatform(Root, Settings);
  readKeys(Root, Settings);
  readTeams(Root, Settings);
  readLimits(Root, Settings.Limits);
  Settings.ContinueWhenCutOff =
      Root.choiceOr("when_cut_off", "refuse", {"refuse", "continue"}) ==
      "continue";
  Settings.LogLevel =
      Root.choiceOr("log_level", "info", {"debug", "info", "warn", "error"});
  Root.finish();
  if (!Errors.empty())
    return tl::unexpected(Errors);
  return Settings;
}
