#include "bluebellkeel/Settings.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {
class settings_store_test : public testing::Test {
protected:
  static settings_state stateAt(std::uint64_t Offset, double Cost) {
    settings_state::value_map Values;
    Values[*settings_path::parse("/t/versions/m@1/cost")] = setting_value(Cost);
    return settings_state(log_offset(Offset), Values, {});
  }

  settings_store Store;
};
} // namespace

TEST_F(settings_store_test, replaceIfNewer_newerState_takesEffect) {
  EXPECT_TRUE(Store.replaceIfNewer(stateAt(5, 1)));
  EXPECT_TRUE(Store.replaceIfNewer(stateAt(6, 2)));
  EXPECT_EQ(2.0, Store.routing()->version(version_id("m@1"))->cost());
}

TEST_F(settings_store_test, replaceIfNewer_olderOrEqualState_changesNothing) {
  Store.replaceIfNewer(stateAt(5, 1));
  EXPECT_FALSE(Store.replaceIfNewer(stateAt(4, 9)));
  EXPECT_FALSE(Store.replaceIfNewer(stateAt(5, 9)));
  EXPECT_EQ(1.0, Store.routing()->version(version_id("m@1"))->cost());
}

TEST_F(settings_store_test, apply_offsetAlreadyApplied_changesNothing) {
  Store.replaceIfNewer(stateAt(5, 1));
  settings_change Change(
      "c", team_id("t"), log_offset(),
      {setting_edit(*settings_path::parse("/t/versions/m@1/cost"),
                    setting_value(9.0))});
  Store.apply(log_offset(5), Change);
  EXPECT_EQ(1.0, Store.routing()->version(version_id("m@1"))->cost());
  EXPECT_TRUE(Store.history().empty());
}
