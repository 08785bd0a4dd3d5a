#include "Support/ManualClock.h"
#include "bluebellkeel/Core.h"
#include "bluebellkeel/Peer.h"
#include <gtest/gtest.h>

using namespace bluebellkeel;

namespace {

class digest_test : public testing::Test {
protected:
  peer_body encodeAndDecode(peer_body Body, const instance_id &To) {
    std::string Bytes = Codec.encode(peer_envelope(
        instance_id("a"), To, 1, Clock.wallNow(), std::move(Body)));
    auto Envelope = Codec.decode(Bytes, instance_id("b"), Clock.wallNow());
    EXPECT_TRUE(Envelope.has_value());
    return Envelope ? Envelope->body() : peer_body();
  }

  manual_clock Clock;
  hmac_signer Signer{"a key for the tests"};
  peer_codec Codec{Signer};
  instance_record Record{
      instance_id("a"), data_centre_id("north"), network_address("10.0.0.1", 1),
      network_address("10.0.0.1", 2), instance_state::Leaving};
};

} // namespace

TEST_F(digest_test, digest_encodedAndDecoded_isEqual) {
  roll_out_evidence::fields Evidence;
  Evidence.Order =
      roll_out_order(service_id("s"), version_id("v"), milliseconds(24000),
                     log_position(2, log_offset(3)));
  Evidence.Elapsed = milliseconds(700);
  Evidence.Stage = roll_out_stage::RolledBack;
  Evidence.Published = true;
  Evidence.Target = version_stats(
      1, 2, log_time_mean(3, 4.5),
      event_intervals().with(milliseconds(40), 1).with(milliseconds(90), 20));
  instance_digest::fields Fields;
  Fields.Sender = Record;
  Fields.Settings = view_state(log_position(2, log_offset(7)), milliseconds(9));
  Fields.Upstreams = view_state(log_offset(8), std::nullopt);
  Fields.Loads = {instance_load(upstream_id("u"), 2, 300)};
  Fields.RollOuts = {roll_out_evidence(Evidence)};
  Fields.RequestCrashes = request_crash_report(
      {request_crash(fingerprint("f"), upstream_id("u"), milliseconds(19))},
      {request_success(fingerprint("g"), milliseconds(17)),
       request_success(fingerprint("h"), milliseconds(18))});
  Fields.PartCrashes = part_crash_report(
      {part_crash(fingerprint("f"), upstream_incarnation(upstream_id("u"), 13),
                  {"p", "q"}, milliseconds(11))},
      {part_success("p", milliseconds(12))},
      {part_interruption("p", 1, fingerprint("f"),
                         upstream_incarnation(upstream_id("u"), 13),
                         milliseconds(16))});
  Fields.Notices = {notice_report(upstream_incarnation(upstream_id("u"), 13),
                                  2.5, false, milliseconds(14)),
                    notice_report(upstream_incarnation(upstream_id("v"), 0),
                                  std::nullopt, true, milliseconds(15))};
  Fields.KnownInstances = {Record};
  peer_body Digest = instance_digest(Fields);
  EXPECT_EQ(Digest, encodeAndDecode(Digest, instance_id("b")));
}

TEST_F(digest_test, digest_withoutRecipientId_isAccepted) {
  instance_digest::fields Fields;
  Fields.Sender = Record;
  peer_body Digest = instance_digest(Fields);
  EXPECT_EQ(Digest, encodeAndDecode(Digest, instance_id()));
}

TEST_F(digest_test, viewMessages_encodedAndDecoded_areEqual) {
  peer_body Query =
      view_query(keyed_topic::Upstreams, log_position(2, log_offset(4)));
  EXPECT_EQ(Query, encodeAndDecode(Query, instance_id("b")));
  peer_body Answer =
      view_answer(keyed_topic::Settings,
                  keyed_page({keyed_record("k", "{\"v\":1}", log_offset(5)),
                              keyed_record("gone", "", log_offset(6))},
                             log_offset(6)),
                  std::nullopt);
  EXPECT_EQ(Answer, encodeAndDecode(Answer, instance_id("b")));
  peer_body Whole = view_answer(
      keyed_topic::Upstreams,
      keyed_page(
          {keyed_record("k", "{\"v\":1}", log_position(2, log_offset(5)))},
          log_position(2, log_offset(6)), keyed_page::scope::AllKeys),
      milliseconds(7));
  EXPECT_EQ(Whole, encodeAndDecode(Whole, instance_id("b")));
}

TEST_F(digest_test, message_toOtherRecipient_isRejected) {
  std::string Bytes = Codec.encode(peer_envelope(
      instance_id("a"), instance_id("c"), 1, Clock.wallNow(), view_query()));
  EXPECT_FALSE(Codec.decode(Bytes, instance_id("b"), Clock.wallNow()));
}
