#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {
class ticket_office_test : public testing::Test {
protected:
  manual_clock Clock;
  seeded_random Random{1};
  hmac_signer Signer{"a key for tests only"};
  ticket_office Office{Clock, Random, Signer, seconds(600)};
};
} // namespace

TEST_F(ticket_office_test, ticket_issued_isReadBackByAnyInstance) {
  ticket Ticket = Office.issue(account_id("a"), log_offset(7));
  seeded_random Other(2);
  ticket_office Elsewhere(Clock, Other, Signer, seconds(600));
  EXPECT_EQ(Ticket, Elsewhere.decode(Office.encode(Ticket)));
}

RC_GTEST_FIXTURE_PROP(ticket_office_test, ticket_withAnyByteChanged_isRefused,
                      (std::size_t Position, unsigned char Byte)) {
  std::string Text =
      Office.encode(Office.issue(account_id("a"), log_offset(7)));
  std::size_t Index = Position % Text.size();
  RC_PRE(Text[Index] != static_cast<char>(Byte));
  Text[Index] = static_cast<char>(Byte);
  RC_ASSERT(!Office.decode(Text));
}

RC_GTEST_FIXTURE_PROP(ticket_office_test, anyText_thatIsNoTicket_isRefused,
                      (const std::string &Text)) {
  RC_ASSERT(!Office.decode(Text));
}

TEST_F(ticket_office_test, ticket_pastItsLifetime_isExpired) {
  ticket Ticket = Office.issue(account_id("a"), log_offset(7));
  Clock.advance(seconds(600));
  EXPECT_FALSE(Office.expired(Ticket));
  Clock.advance(milliseconds(1));
  EXPECT_TRUE(Office.expired(Ticket));
}
