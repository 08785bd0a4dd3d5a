#include "bluebellkeel/Codec/DutyJson.h"
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

namespace {

class duty_json_test : public testing::Test {
protected:
  const usage_report Report{7, {{account_id("x"), 3}, {account_id("y"), 4}}};
  const duty_record Record{instance_id("a"),
                           (3ULL << 32) + 5,
                           {recorded_report(Report, true),
                            recorded_report(usage_report(8, {}), false)}};
};

} // namespace

TEST_F(duty_json_test, record_isReadAsWritten) {
  auto Read = dutyRecordFrom(toJson(Record));
  ASSERT_TRUE(Read);
  EXPECT_EQ(Record, *Read);
}

TEST_F(duty_json_test, counts_areReadAsWritten) {
  std::vector<usage_report> Reports = {Report};
  EXPECT_EQ(Reports, usageReportsFrom(toJson(Reports)));
}

TEST_F(duty_json_test, malformedRecords_areErrors) {
  for (
      const char *Text :
      {"[]", "{}", R"({"holder":"a","token":-1,"reports":[]})",
       R"({"holder":"a","token":1,"reports":[{"w":1,"c":[],"a":true}]})",
       R"({"holder":"a","token":1,"reports":[{"w":1,"c":{"x":"1"},"a":true}]})",
       R"({"holder":"a","token":1,"reports":[{"w":1,"c":{}}]})"})
    EXPECT_FALSE(dutyRecordFrom(json::parse(Text))) << Text;
}

TEST_F(duty_json_test, tooManyCounts_areAnError) {
  std::vector<usage_report> Reports(duty_record::MaxReports + 1, Report);
  EXPECT_FALSE(usageReportsFrom(toJson(Reports)));
}
