#include "bluebellkeel/Peer/PeerCodec.h"
#include "PeerBodyJson.h"
#include "bluebellkeel/Codec.h"
#include "bluebellkeel/Codec/FieldReader.h"
#include <nlohmann/json.hpp>

using namespace bluebellkeel;

using nlohmann::json;

/// Length of the signature at the start of a message: 128 bits in hexadecimal
/// digits.
static constexpr std::size_t SignatureDigits = 32;

static std::string signatureOf(const signer &Signer, std::string_view Bytes) {
  return Signer.sign("p1|" + std::string(Bytes)).substr(0, SignatureDigits);
}

static bool constantTimeEquals(std::string_view L, std::string_view R) {
  unsigned Difference = L.size() == R.size() ? 0 : 1;
  for (std::size_t I = 0; I < L.size() && I < R.size(); ++I)
    Difference |= static_cast<unsigned>(L[I] ^ R[I]);
  return Difference == 0;
}

std::string peer_codec::encode(const peer_envelope &Envelope) const {
  auto SentAt = std::chrono::duration_cast<milliseconds>(
      Envelope.sentAt().time_since_epoch());
  json Json = {{"f", Envelope.from().text()},
               {"t", Envelope.to().text()},
               {"n", Envelope.number()},
               {"w", static_cast<std::uint64_t>(SentAt.count())},
               {"k", std::string(kindOf(Envelope.body()))},
               {"b", bodyToJson(Envelope.body())}};
  std::string Bytes;
  json::to_cbor(Json, Bytes);
  return signatureOf(Signer, Bytes) + Bytes;
}

/// Sets the sender in bodies that do not encode it. The sender is taken from
/// the authenticated envelope.
static peer_body withSender(peer_body Body, const instance_id &From) {
  if (auto *Answer = std::get_if<heartbeat_answer>(&Body)) {
    const heartbeat &Heartbeat = Answer->senderHeartbeat();
    heartbeat WithSender(From, Heartbeat.incarnation(), Heartbeat.serving(),
                         Heartbeat.settingsApplied(), Heartbeat.logAge());
    return heartbeat_answer(WithSender, Answer->ratings());
  }
  if (auto *Ask = std::get_if<grant_ask>(&Body)) {
    std::vector<grant_request> WithSender;
    for (const auto &Request : Ask->requests())
      WithSender.emplace_back(From, Request.upstream(), Request.inFlight(),
                              Request.wanted());
    return grant_ask(std::move(WithSender));
  }
  return Body;
}

static tl::expected<peer_envelope, peer_error> envelopeFrom(const json &Json) {
  field_reader Fields(Json);
  instance_id From(Fields.text("f"));
  instance_id To(Fields.text("t"));
  std::uint64_t Number = Fields.number("n");
  wall_time SentAt{milliseconds(Fields.number("w"))};
  std::string Kind = Fields.text("k");
  if (Fields.failed())
    return tl::unexpected(peer_error::Malformed);
  auto Body = bodyFromJson(Kind, Fields.optional("b"));
  if (!Body)
    return tl::unexpected(peer_error::Malformed);
  return peer_envelope(From, To, Number, SentAt, withSender(*Body, From));
}

tl::expected<peer_envelope, peer_error>
peer_codec::decode(std::string_view Bytes, const instance_id &Self,
                   wall_time Now) const {
  if (Bytes.size() > MaxBytes)
    return tl::unexpected(peer_error::TooLarge);
  if (Bytes.size() < SignatureDigits)
    return tl::unexpected(peer_error::Malformed);
  std::string_view Signed = Bytes.substr(SignatureDigits);
  if (!constantTimeEquals(signatureOf(Signer, Signed),
                          Bytes.substr(0, SignatureDigits)))
    return tl::unexpected(peer_error::BadSignature);
  auto Json = parseCbor(Signed);
  if (!Json)
    return tl::unexpected(peer_error::Malformed);
  auto Envelope = envelopeFrom(*Json);
  if (!Envelope)
    return Envelope;
  auto Age = Now - Envelope->sentAt();
  // Seed peers are contacted by address before their ids are known, so the
  // recipient may be empty.
  bool AddressedToSelf = Envelope->to().empty() || Envelope->to() == Self;
  if (!AddressedToSelf || Age > MaxAge || Age < -MaxAge)
    return tl::unexpected(peer_error::Stale);
  return Envelope;
}
