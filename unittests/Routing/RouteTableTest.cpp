#include "bluebellkeel/Routing.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class route_table_test : public testing::Test {
protected:
  static forward_route route(std::string Name, std::string Prefix) {
    forward_route::fields Fields;
    Fields.Name = std::move(Name);
    Fields.Host = "a.example";
    Fields.PathPrefix = std::move(Prefix);
    Fields.Services = {{service_id("one"), 1}};
    return forward_route(std::move(Fields));
  }
  static route_table table(std::uint64_t Version) {
    return route_table(
        Version, {route("short", "/x/"), route("long", "/x/y/")}, {},
        api_key_policy::onlyAccounts(
            {api_key_account(account_id("mill"), {"k1", "k2"}, 2)}));
  }
};

} // namespace

TEST_F(route_table_test, match_severalPrefixes_returnsLongest) {
  route_table Table = table(1);
  EXPECT_EQ("long", Table.match("a.example", "/x/y/z")->name());
  EXPECT_EQ("short", Table.match("a.example", "/x/z")->name());
}

TEST_F(route_table_test, match_partialSegmentOrOtherHost_returnsNull) {
  route_table Table = table(1);
  EXPECT_EQ(nullptr, Table.match("a.example", "/xy"));
  EXPECT_EQ(nullptr, Table.match("b.example", "/x/y/"));
}

TEST_F(route_table_test, accountOf_eachKey_returnsItsAccount) {
  route_table Table = table(1);
  EXPECT_EQ("mill", Table.apiKeys().accountOf("k2")->account().text());
  EXPECT_EQ(nullptr, Table.apiKeys().accountOf("k3"));
  EXPECT_EQ(nullptr, Table.apiKeys().accountOf(""));
}

TEST_F(route_table_test, holder_givenOlderVersion_keepsNewer) {
  route_table_holder Holder;
  EXPECT_EQ(nullptr, Holder.current());
  EXPECT_TRUE(Holder.replaceIfNewer(table(7)));
  EXPECT_FALSE(Holder.replaceIfNewer(table(6)));
  EXPECT_FALSE(Holder.replaceIfNewer(table(7)));
  EXPECT_EQ(7U, Holder.current()->version());
}

TEST_F(route_table_test, serviceAt_weightedServices_splitsByWeight) {
  forward_route::fields Fields;
  Fields.Services = {{service_id("one"), 90}, {service_id("two"), 10}};
  forward_route Route(std::move(Fields));
  EXPECT_EQ("one", Route.serviceAt(0.0).text());
  EXPECT_EQ("one", Route.serviceAt(0.89).text());
  EXPECT_EQ("two", Route.serviceAt(0.91).text());
}

TEST_F(route_table_test,
       repeatable_ofEachKind_requiresIdempotentOrResumableStream) {
  forward_route::fields Fields;
  Fields.Kind = route_kind::AtMostOnce;
  Fields.Resumable = true;
  EXPECT_FALSE(forward_route(Fields).repeatable());
  Fields.Kind = route_kind::Stream;
  EXPECT_TRUE(forward_route(Fields).repeatable());
  Fields.Resumable = false;
  EXPECT_FALSE(forward_route(Fields).repeatable());
  Fields.Kind = route_kind::Idempotent;
  EXPECT_TRUE(forward_route(Fields).repeatable());
}
