#include "Support/ManualClock.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Peer.h"
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace bluebellkeel;

namespace {

class peer_codec_test : public testing::Test {
protected:
  peer_envelope envelope(peer_body Body) const {
    return peer_envelope(instance_id("from"), instance_id("to"), 7,
                         Clock.wallNow(), std::move(Body));
  }
  tl::expected<peer_envelope, peer_error>
  decodeAsRecipient(const std::string &Bytes) const {
    return Codec.decode(Bytes, instance_id("to"), Clock.wallNow());
  }

  static std::vector<peer_body> bodies() {
    heartbeat Heartbeat(instance_id("from"), 3, true, log_offset(9),
                        milliseconds(250));
    upstream_id Upstream("u");
    grant_request Request(instance_id("from"), Upstream, load_amount(1, 2),
                          load_amount(3, 4));
    bill Bill(account_id("a"), request_id("r"), "m@1", 5, 6);
    settings_state::value_map Values;
    Values[*settings_path::parse("/t/versions/m@1/cost")] = setting_value(1.5);
    return {heartbeat_query(),
            heartbeat_answer(Heartbeat,
                             {{version_id("m@1"), quality_counts(4, 1)}}),
            grant_ask({Request}),
            grant_reply({grant(Upstream, load_amount(1, 2), seconds(2))}),
            bill_copy({Bill}),
            bill_copy_ack(true),
            crash_notice(fingerprint("f"), Upstream),
            state_query(),
            state_answer(settings_state(log_offset(3), Values, {})),
            usage_counts(
                {usage_report(9, {{account_id("a"), 4}})},
                {service_work(service_id("s"), data_centre_id("d"), 3, 40)},
                duty_progress(5, 8, instance_id("to"))),
            duty_progress(5, 9, instance_id("from"))};
  }

  manual_clock Clock;
  hmac_signer Signer{"a key for tests only"};
  peer_codec Codec{Signer};
};

} // namespace

TEST_F(peer_codec_test, eachBody_encodedAndDecoded_isEqual) {
  for (const auto &Body : bodies()) {
    auto Decoded = decodeAsRecipient(Codec.encode(envelope(Body)));
    ASSERT_TRUE(Decoded) << kindOf(Body);
    EXPECT_TRUE(envelope(Body) == *Decoded) << kindOf(Body);
  }
}

TEST_F(peer_codec_test, recordThatIsNoUtf8_encodedAndDecoded_isEqual) {
  keyed_record Odd("\xff key", std::string("\xfe\x00\x80", 3), log_offset(4));
  peer_body Body(view_answer(keyed_topic::Upstreams,
                             keyed_page({Odd}, log_offset(4)), std::nullopt));
  auto Decoded = decodeAsRecipient(Codec.encode(envelope(Body)));
  ASSERT_TRUE(Decoded);
  EXPECT_TRUE(envelope(Body) == *Decoded);
}

TEST_F(peer_codec_test, message_signedWithOtherKey_isRejected) {
  hmac_signer Other("another key for tests");
  std::string Bytes = peer_codec(Other).encode(envelope(heartbeat_query()));
  EXPECT_EQ(peer_error::BadSignature, decodeAsRecipient(Bytes).error());
}

TEST_F(peer_codec_test, message_toOtherRecipientOrExpired_isStale) {
  std::string Bytes = Codec.encode(envelope(heartbeat_query()));
  EXPECT_EQ(peer_error::Stale,
            Codec.decode(Bytes, instance_id("other"), Clock.wallNow()).error());
  Clock.advance(peer_codec::MaxAge + milliseconds(1));
  EXPECT_EQ(peer_error::Stale, decodeAsRecipient(Bytes).error());
}

RC_GTEST_FIXTURE_PROP(peer_codec_test, message_withAnyByteChanged_isRejected,
                      (std::size_t Position, unsigned char Byte)) {
  for (const auto &Body : bodies()) {
    std::string Bytes = Codec.encode(envelope(Body));
    std::size_t Index = Position % Bytes.size();
    if (Bytes[Index] == static_cast<char>(Byte))
      continue;
    Bytes[Index] = static_cast<char>(Byte);
    RC_ASSERT(!decodeAsRecipient(Bytes));
  }
}

RC_GTEST_FIXTURE_PROP(peer_codec_test, decode_arbitrarySignedBytes_doesNotCrash,
                      (const std::string &Bytes)) {
  std::string Signature = Signer.sign("p1|" + Bytes).substr(0, 32);
  (void)decodeAsRecipient(Signature + Bytes);
}
