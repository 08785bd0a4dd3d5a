#include "Support/ManualClock.h"
#include "Support/SeededRandom.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Journal.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {
class ticket_issuer_test : public testing::Test {
protected:
  manual_clock Clock;
  seeded_random Random{1};
  hmac_signer Signer{"a key for tests only"};
  ticket_issuer Issuer{Clock, Random, Signer, seconds(600)};
};
} // namespace

TEST_F(ticket_issuer_test, issuedTicket_isDecodedByAnyInstance) {
  ticket Ticket = Issuer.issue(account_id("a"), log_offset(7));
  seeded_random Other(2);
  ticket_issuer OtherIssuer(Clock, Other, Signer, seconds(600));
  EXPECT_EQ(Ticket, OtherIssuer.decode(Issuer.encode(Ticket)));
}

RC_GTEST_FIXTURE_PROP(ticket_issuer_test, ticket_withAnyByteChanged_isRefused,
                      (std::size_t Position, unsigned char Byte)) {
  std::string Text =
      Issuer.encode(Issuer.issue(account_id("a"), log_offset(7)));
  std::size_t Index = Position % Text.size();
  RC_PRE(Text[Index] != static_cast<char>(Byte));
  Text[Index] = static_cast<char>(Byte);
  RC_ASSERT(!Issuer.decode(Text));
}

RC_GTEST_FIXTURE_PROP(ticket_issuer_test, anyText_thatIsNoTicket_isRefused,
                      (const std::string &Text)) {
  RC_ASSERT(!Issuer.decode(Text));
}

TEST_F(ticket_issuer_test, ticket_pastLifetime_isExpired) {
  ticket Ticket = Issuer.issue(account_id("a"), log_offset(7));
  Clock.advance(seconds(600));
  EXPECT_FALSE(Issuer.expired(Ticket));
  Clock.advance(milliseconds(1));
  EXPECT_TRUE(Issuer.expired(Ticket));
}
