#include "bluebellkeel/Routing.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class api_key_policy_test : public testing::Test {
protected:
  static api_key_account account(std::string Name,
                                 std::vector<std::string> Keys) {
    return api_key_account(account_id(std::move(Name)), std::move(Keys),
                           std::nullopt);
  }
};

} // namespace

TEST_F(api_key_policy_test, onlyAccounts_ofEmptyList_differsFromAnyCaller) {
  auto Closed = api_key_policy::onlyAccounts({});
  EXPECT_TRUE(Closed.requiresKey());
  EXPECT_EQ(nullptr, Closed.accountOf("k"));
  EXPECT_FALSE(api_key_policy::anyCaller().requiresKey());
  EXPECT_NE(api_key_policy::anyCaller(), Closed);
}

TEST_F(api_key_policy_test, onlyAccounts_ofEmptyList_isKeptByTableAndHolder) {
  route_table Closed(1, {}, {}, api_key_policy::onlyAccounts({}));
  route_table_holder Holder;
  ASSERT_TRUE(Holder.replaceIfNewer(Closed));
  EXPECT_TRUE(Holder.current()->apiKeys().requiresKey());
  EXPECT_EQ(Closed, *Holder.current());
  EXPECT_NE(route_table(1, {}, {}, api_key_policy::anyCaller()), Closed);
}

TEST_F(api_key_policy_test, accountOf_severalAccounts_returnsHolderOfKey) {
  auto Policy = api_key_policy::onlyAccounts(
      {account("mill", {"k1", "k2"}), account("shop", {"k3"})});
  EXPECT_EQ("mill", Policy.accountOf("k2")->account().text());
  EXPECT_EQ("shop", Policy.accountOf("k3")->account().text());
  EXPECT_EQ(nullptr, Policy.accountOf("k"));
}

TEST_F(api_key_policy_test, accountWithoutKeys_admitsNoCaller) {
  auto Policy = api_key_policy::onlyAccounts({account("mill", {})});
  EXPECT_TRUE(Policy.requiresKey());
  EXPECT_EQ(nullptr, Policy.accountOf(""));
}

// Guards against callers without a key that are admitted by an empty one.
TEST_F(api_key_policy_test, accountWithEmptyKey_admitsOnlyItsOtherKeys) {
  auto Policy = api_key_policy::onlyAccounts({account("mill", {"", "k1"})});
  EXPECT_EQ(nullptr, Policy.accountOf(""));
  EXPECT_EQ("mill", Policy.accountOf("k1")->account().text());
}
