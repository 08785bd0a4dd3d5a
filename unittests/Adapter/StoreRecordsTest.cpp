#include "ConfigurationReader.h"
#include "NewestPage.h"
#include "RecordFrames.h"
#include "RegistrationReader.h"
#include "SettingsListener.h"
#include "UpstreamListener.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

const char *const Configuration = R"({"version":7,
 "routes":[{"name":"r1","host":"A.example","path_prefix":"/p/",
   "kind":"streaming","timeout_ms":20000,"slo_ms":1500,"priority":2,
   "sizes":["s","l"],"service":"one","attempts":3,"public":false,
   "sticky":true,"resumable":true,"gap_slo_ms":1200},
  {"name":"r2","host":"a.example","path_prefix":"/q/","kind":"idempotent",
   "timeout_ms":800,"slo_ms":100,"priority":1,"attempts":2,"public":true,
   "backends":[{"service":"one","weight":90},{"service":"two","weight":10}]}],
 "services":[{"name":"one","health_path":"/healthz","cold_start_s":3.0,
   "cold_per_s":14.0,"engine":{"slots":64,"kv_tokens":517935,
   "models":[{"name":"s","cost":0.024},{"name":"l","cost":0.36}]}},
  {"name":"two","health_path":"/healthz"}],
 "limits":{"max_header_bytes":16384},
 "tenants":[{"name":"mill","api_keys":["k1","k2"],"priority":1}],
 "later_field":{"x":1}})";

const char *const Registration =
    R"({"service":"one","address":"10.0.0.9:8080","zone":"north",
 "version":"v1","slots":64,"state":"ready","cold_left_ms":250,"seq":4,
 "born":1785798316334,"stage":"both","models":[]})";

class store_records_test : public testing::Test {
protected:
  static gateway_settings settings() {
    gateway_settings Settings;
    Settings.Instance = instance_id("self");
    Settings.Reloadable.TrialShare = 0.15;
    return Settings;
  }
  static keyed_record record(const std::string &Key, const std::string &Value,
                             std::uint64_t Offset) {
    return keyed_record(Key, Value, log_offset(Offset));
  }

  gateway_context Context{settings()};
  settings_listener Settings{Context};
  upstream_listener Upstreams{Context};
};

} // namespace

TEST_F(store_records_test, configuration_isDecoded) {
  auto Table = readConfiguration(Configuration);
  ASSERT_TRUE(Table.has_value());
  EXPECT_EQ(7U, Table->version());
  const forward_route *Stream = Table->match("a.example", "/p/x");
  ASSERT_NE(nullptr, Stream);
  EXPECT_EQ(route_kind::Stream, Stream->kind());
  EXPECT_TRUE(Stream->resumable());
  EXPECT_EQ(milliseconds(1200), Stream->gapObjective());
  EXPECT_EQ((std::vector<std::string>{"s", "l"}), Stream->sizes());
  const forward_route *Split = Table->match("a.example", "/q/");
  EXPECT_TRUE(Split->routesTo(service_id("two")));
  EXPECT_TRUE(Split->isPublic());
  EXPECT_EQ(14, Table->configOf(service_id("one"))->coldRate());
  EXPECT_EQ(0.36, Table->configOf(service_id("one"))->costOf("l"));
  EXPECT_EQ(1U, *Table->apiKeys().accountOf("k2")->priority());
}

TEST_F(store_records_test, malformedConfiguration_isRejected) {
  EXPECT_FALSE(readConfiguration("no json"));
  EXPECT_FALSE(readConfiguration("[]"));
  EXPECT_FALSE(
      readConfiguration(R"({"version":"x","routes":[],"services":[]})"));
  EXPECT_FALSE(readConfiguration(
      R"({"version":1,"routes":[{"name":"r"}],"services":[]})"));
  EXPECT_FALSE(readConfiguration(
      R"({"version":1,"routes":[1],"services":[2],"tenants":[3]})"));
}

// Guards against an empty list of accounts that counts as a missing one.
TEST_F(store_records_test, configurationWithEmptyAccounts_requiresAKey) {
  auto Closed = readConfiguration(
      R"({"version":1,"routes":[],"services":[],"tenants":[]})");
  auto Open = readConfiguration(R"({"version":1,"routes":[],"services":[]})");
  ASSERT_TRUE(Closed && Open);
  EXPECT_TRUE(Closed->apiKeys().requiresKey());
  EXPECT_EQ(nullptr, Closed->apiKeys().accountOf(""));
  EXPECT_FALSE(Open->apiKeys().requiresKey());
  EXPECT_FALSE(*Closed == *Open);
}

TEST_F(store_records_test, configurationWithAccountsOfWrongKind_isRejected) {
  for (const char *Accounts :
       {"null", "\"mill\"", "7", "{}", "true", "[null]", "[[]]"}) {
    std::string Text = R"({"version":1,"routes":[],"services":[],"tenants":)";
    EXPECT_FALSE(readConfiguration(Text + Accounts + "}")) << Accounts;
  }
}

TEST_F(store_records_test, accountWithMalformedKeys_hasNoKey) {
  for (const char *Keys : {"", R"(,"api_keys":null)", R"(,"api_keys":"k")",
                           R"(,"api_keys":{"k":"k"})", R"(,"api_keys":[7])"}) {
    auto Table = readConfiguration(
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"mill")" +
        std::string(Keys) + "}]}");
    ASSERT_TRUE(Table.has_value()) << Keys;
    EXPECT_TRUE(Table->apiKeys().requiresKey()) << Keys;
    for (const char *Key : {"", "k", "7"})
      EXPECT_EQ(nullptr, Table->apiKeys().accountOf(Key)) << Keys;
  }
}

// Guards against an account that gets the most urgent priority by a mistake.
TEST_F(store_records_test, accountPriorityOfWrongKind_countsAsMissing) {
  for (const char *Priority : {"null", "\"1\"", "[]", "-1", "1e300"}) {
    auto Table = readConfiguration(
        R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"mill",)"
        R"("api_keys":["k"],"priority":)" +
        std::string(Priority) + "}]}");
    ASSERT_TRUE(Table.has_value()) << Priority;
    EXPECT_EQ(std::nullopt, Table->apiKeys().accountOf("k")->priority())
        << Priority;
  }
}

TEST_F(store_records_test, configurationLimits_invalidValues_areIgnored) {
  std::string Text = Configuration;
  const std::string OriginalLimit = R"("max_header_bytes":16384)";
  Text.replace(Text.find(OriginalLimit), OriginalLimit.size(),
               R"("max_header_bytes":9000,"max_body_bytes":-1,
                  "header_timeout_ms":"x","idle_timeout_ms":15000)");
  auto Table = readConfiguration(Text);
  ASSERT_TRUE(Table.has_value());
  EXPECT_EQ(caller_limits(9000, std::nullopt, std::nullopt, seconds(15)),
            Table->limits());
}

TEST_F(store_records_test,
       configuration_withMalformedOptionalFields_ignoresThem) {
  auto Table = readConfiguration(
      R"({"version":1,"routes":[],"limits":7,
          "services":[{"name":"one","health_path":3,"engine":"x"}]})");
  ASSERT_TRUE(Table.has_value());
  EXPECT_EQ(caller_limits(), Table->limits());
}

TEST_F(store_records_test, registration_isDecoded) {
  auto Listing = readRegistration("i-1", Registration);
  ASSERT_TRUE(Listing.has_value());
  EXPECT_EQ("i-1", Listing->id().text());
  EXPECT_EQ(network_address("10.0.0.9", 8080), Listing->address());
  EXPECT_EQ(milliseconds(250), Listing->coldLeft());
  EXPECT_EQ(1785798316334U, Listing->incarnation());
  EXPECT_FALSE(Listing->leaving());
}

TEST_F(store_records_test, malformedRegistration_isRejected) {
  EXPECT_FALSE(readRegistration("i", "\xff\xfe"));
  EXPECT_FALSE(readRegistration("i", "{}"));
  EXPECT_FALSE(readRegistration("i", "7"));
  for (auto [From, To] : std::vector<std::pair<std::string, std::string>>{
           {"\"ready\"", "\"asleep\""},
           {"\"10.0.0.9:8080\"", "\"here\""},
           {"\"seq\":4", "\"seq\":\"4\""},
           {"1785798316334", "1.5"},
           {"\"slots\":64", "\"slots\":null"}}) {
    std::string Text = Registration;
    Text.replace(Text.find(From), From.size(), To);
    EXPECT_FALSE(readRegistration("i", Text)) << To;
  }
}

TEST_F(store_records_test, registrationWithNumberOutOfRange_isRejected) {
  for (auto [From, To] : std::vector<std::pair<std::string, std::string>>{
           {"\"slots\":64", "\"slots\":4294967360"},
           {"\"cold_left_ms\":250", "\"cold_left_ms\":1e300"},
           {"\"cold_left_ms\":250", "\"cold_left_ms\":-1"},
           {"\"cold_left_ms\":250", "\"cold_left_ms\":1e999"},
           {"\"seq\":4", "\"seq\":18446744073709551615"},
           {"1785798316334", "9223372036854775808"},
           {"10.0.0.9:8080", "10.0.0.9:65536"},
           {"10.0.0.9:8080", "10.0.0.9:0"},
           {"10.0.0.9:8080", "10.0.0.9 :8080"},
           {"10.0.0.9:8080", "10.0.0.\xff:8080"}}) {
    std::string Text = Registration;
    Text.replace(Text.find(From), From.size(), To);
    EXPECT_FALSE(readRegistration("i", Text)) << To;
  }
}

TEST_F(store_records_test, registrationNestedVeryDeeply_isRejected) {
  constexpr std::size_t Depth = 200000;
  EXPECT_FALSE(readRegistration("i", std::string(Depth, '[')));
  std::string Text = Registration;
  const std::string Models = "\"models\":[]";
  Text.replace(Text.find(Models), Models.size(),
               "\"models\":" + std::string(Depth, '[') +
                   std::string(Depth, ']'));
  EXPECT_FALSE(readRegistration("i", Text));
}

TEST_F(store_records_test,
       registrationWithSequenceOutOfRange_laterOnesAreHeeded) {
  auto WithSequence = [](const std::string &Sequence) {
    std::string Text = Registration;
    return Text.replace(Text.find("\"seq\":4"), 7, "\"seq\":" + Sequence);
  };
  Upstreams.onRecordChanged(record("i-1", Registration, 1));
  Upstreams.onRecordChanged(
      record("i-1", WithSequence("18446744073709551615"), 2));
  EXPECT_EQ(0U, Context.Registry.serving(service_id("one")).size());
  Upstreams.onRecordChanged(record("i-1", WithSequence("5"), 3));
  EXPECT_EQ(1U, Context.Registry.serving(service_id("one")).size());
}

TEST_F(store_records_test, newestPage_valueThatIsNoBase64_hidesNoOtherRecord) {
  auto Page = readNewestPage(
      R"({"items":[{"key":"a","value":"YQ==","offset":0},
                   {"key":"b","value":"no base64!","offset":1},
                   {"key":"g","value":"Yg==","offset":6}],
          "has_more":true,"end":7})",
      1);
  ASSERT_TRUE(Page.has_value());
  ASSERT_EQ(3U, Page->records().size());
  EXPECT_EQ("a", Page->records()[0].value());
  EXPECT_FALSE(readRegistration("b", Page->records()[1].value()));
  EXPECT_EQ("b", Page->records()[2].value());
  EXPECT_EQ("g", Page->nextAfter());
}

TEST_F(store_records_test, newestPage_malformedItem_isRejected) {
  for (const char *Item :
       {R"({"key":7,"value":"YQ==","offset":2})",
        R"({"key":"d","value":"YQ==","offset":-3})",
        R"({"key":"e","value":"YQ==","offset":1e300})", "\"text\""})
    EXPECT_FALSE(readNewestPage(std::string("{\"items\":[") + Item +
                                    R"(],"has_more":false,"end":7})",
                                1))
        << Item;
}

TEST_F(store_records_test, newestPage_emptyThoughThereIsMore_isRejected) {
  EXPECT_FALSE(readNewestPage(R"({"items":[],"has_more":true,"end":7})", 1));
}

TEST_F(store_records_test, malformedRegistration_removesOnlyThatUpstream) {
  Upstreams.onRecordChanged(record("i-1", Registration, 1));
  Upstreams.onRecordChanged(record("i-2", Registration, 2));
  Upstreams.onRecordChanged(record("i-2", "garbage", 3));
  EXPECT_EQ(1U, Context.Registry.serving(service_id("one")).size());
}

TEST_F(store_records_test, olderConfiguration_isIgnored) {
  Settings.onRecordChanged(record("config", Configuration, 5));
  std::string Older = Configuration;
  Older.replace(Older.find("\"version\":7"), 11, "\"version\":6");
  Settings.onRecordChanged(record("config", Older, 6));
  EXPECT_EQ(7U, Context.Tables.current()->version());
}

TEST_F(store_records_test, malformedConfiguration_keepsCurrentConfiguration) {
  Settings.onRecordChanged(record("config", Configuration, 5));
  Settings.onRecordChanged(record("config", "{", 6));
  Settings.onRecordChanged(record("unknown", "x", 7));
  EXPECT_EQ(7U, Context.Tables.current()->version());
}

TEST_F(store_records_test, evacuation_lastsUntilItsKeyIsDeleted) {
  Settings.onRecordChanged(record("evacuate/north", "{}", 1));
  EXPECT_TRUE(Context.Centres.closed(data_centre_id("north")));
  Settings.onRecordChanged(record("evacuate/north", "", 2));
  EXPECT_FALSE(Context.Centres.closed(data_centre_id("north")));
}

TEST_F(store_records_test, rollOutOrder_isAppliedWithItsDuration) {
  Settings.onRecordChanged(record(
      "rollout/one", R"({"service":"one","target":"v2","duration_s":12})", 3));
  auto Evidence = Context.RollOuts.evidence();
  ASSERT_EQ(1U, Evidence.size());
  EXPECT_EQ(roll_out_order(service_id("one"), version_id("v2"),
                           milliseconds(12000), log_offset(3)),
            Evidence[0].order());
}

TEST_F(store_records_test, recordFrames_writtenAndRead_areEqual) {
  std::string Bytes(16, '\0');
  Bytes += writeRecordFrame("key", "value") + writeRecordFrame("gone", "");
  auto Page = readRecordFrames(Bytes, log_offset(10));
  ASSERT_TRUE(Page.has_value());
  ASSERT_EQ(2U, Page->records().size());
  EXPECT_EQ(record("key", "value", 11), Page->records()[0]);
  EXPECT_TRUE(Page->records()[1].isDeleted());
  EXPECT_EQ(log_offset(12), Page->end());
}

RC_GTEST_FIXTURE_PROP(store_records_test, arbitraryBytes_areDecodedOrRejected,
                      ()) {
  auto Bytes = *rc::gen::arbitrary<std::string>();
  readRecordFrames(Bytes, log_offset(0));
  readConfiguration(Bytes);
  readRegistration("i", Bytes);
  Settings.onRecordChanged(record("config", Bytes + "x", 1));
  Settings.onRecordChanged(record("rollout/one", Bytes + "x", 1));
  Upstreams.onRecordChanged(record("i", Bytes + "x", 1));
}
