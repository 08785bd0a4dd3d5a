#include "bluebellkeel/Codec.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

using nlohmann::json;

namespace {
class json_codec_test : public testing::Test {};
} // namespace

TEST_F(json_codec_test, settingsChange_encodedAndDecoded_isEqual) {
  settings_change Change(
      "id", team_id("t"), log_offset(4),
      {setting_edit(*settings_path::parse("/t/versions/m@1/cost"),
                    setting_value(2.5)),
       setting_edit(*settings_path::parse("/t/accounts/a/versions"),
                    setting_value(setting_value::text_list{"m@1"})),
       setting_edit(*settings_path::parse("/t/versions/m@1/stage"),
                    std::nullopt)});
  auto Read = settingsRecordFrom(toJson(settings_record(Change)));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Change, std::get<settings_change>(*Read));
}

TEST_F(json_codec_test, snapshot_encodedAndDecoded_isEqual) {
  settings_state::value_map Values;
  Values[*settings_path::parse("/t/versions/m@1/cost")] = setting_value(2.5);
  settings_state::revision_map Revisions;
  Revisions[team_id("t")] = subtree_revision(log_offset(3), "c");
  settings_state State(log_offset(9), Values, Revisions);
  auto Read =
      settingsRecordFrom(toJson(settings_record(settings_snapshot(State))));
  ASSERT_TRUE(Read);
  EXPECT_EQ(State, std::get<settings_snapshot>(*Read).state());
}

TEST_F(json_codec_test, snapshot_withValueOutsideSchema_isRejected) {
  json Object = {{"kind", "snapshot"},
                 {"applied", 1},
                 {"values", {{"/t/nonsense/x", 1}}},
                 {"revisions", json::object()}};
  EXPECT_FALSE(settingsRecordFrom(Object));
}

TEST_F(json_codec_test, claimsAndBills_encodedAndDecoded_areEqual) {
  claim_entry Entry(claim_entry::kind::Outcome, "t", "a",
                    recorded_outcome(200, "body"));
  EXPECT_EQ(Entry, *claimEntryFrom(toJson(Entry)));
  bill Bill(account_id("a"), request_id("r"), "m@1", 5, 6);
  EXPECT_EQ(Bill, *billFrom(toJson(Bill)));
}

TEST_F(json_codec_test, field_ofWrongType_isNamedInError) {
  json Object = {{"account", 5}};
  auto Read = billFrom(Object);
  ASSERT_FALSE(Read);
  EXPECT_EQ("account: expected a text, found number", Read.error().message());
}

TEST_F(json_codec_test, jsonOrCbor_nestedTooDeeply_isRejected) {
  std::string Deep(100000, '[');
  EXPECT_FALSE(parseJson(Deep));
  EXPECT_FALSE(parseCbor(std::string(100000, '\x81')));
}

TEST_F(json_codec_test, json_withDuplicateKey_isRejected) {
  EXPECT_FALSE(parseJson(R"({"a":1,"a":2})"));
}

RC_GTEST_FIXTURE_PROP(json_codec_test,
                      arbitraryBytes_asAnyRecord_areDecodedOrRejected,
                      (const std::string &Bytes)) {
  auto Json = parseJson(Bytes);
  auto Cbor = parseCbor(Bytes);
  for (const auto &Read : {Json, Cbor}) {
    if (!Read)
      continue;
    (void)settingsRecordFrom(*Read);
    (void)claimEntryFrom(*Read);
    (void)billFrom(*Read);
    (void)instanceRecordFrom(*Read);
    (void)upstreamRecordFrom(*Read);
    (void)loadReportFrom(*Read);
  }
}
