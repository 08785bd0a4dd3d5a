#include "bluebellkeel/Codec/FieldReader.h"
#include "bluebellkeel/Codec/JsonConversion.h"

using namespace bluebellkeel;

using nlohmann::json;

using claim_kind = claim_entry::kind;

static const char *kindName(claim_kind Kind) {
  switch (Kind) {
  case claim_kind::Claim:
    return "claim";
  case claim_kind::Release:
    return "release";
  case claim_kind::Outcome:
    return "outcome";
  }
  return "";
}

json bluebellkeel::toJson(const claim_entry &Entry) {
  json Object = {{"kind", kindName(Entry.entryKind())},
                 {"ticket", Entry.ticketId()},
                 {"attempt", Entry.attemptId()}};
  if (Entry.entryKind() == claim_kind::Outcome) {
    Object["status"] = static_cast<unsigned>(Entry.outcome().status());
    Object["body"] = Entry.outcome().body();
  }
  return Object;
}

decoded<claim_entry> bluebellkeel::claimEntryFrom(const json &Json) {
  field_reader Fields(Json);
  std::string Kind = Fields.text("kind");
  std::string Ticket = Fields.text("ticket");
  std::string Attempt = Fields.text("attempt");
  recorded_outcome Outcome;
  if (Kind == "outcome")
    Outcome = recorded_outcome(static_cast<int>(Fields.number("status")),
                               Fields.text("body"));
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  for (auto Known :
       {claim_kind::Claim, claim_kind::Release, claim_kind::Outcome}) {
    if (Kind == kindName(Known))
      return claim_entry(Known, Ticket, Attempt, Outcome);
  }
  return tl::unexpected(codec_error("kind: expected claim, release, outcome"));
}

json bluebellkeel::toJson(const bill &Bill) {
  return {{"account", Bill.account().text()},
          {"request", Bill.request().text()},
          {"work", Bill.work()},
          {"tokens", Bill.tokens()},
          {"cost", Bill.cost()}};
}

decoded<bill> bluebellkeel::billFrom(const json &Json) {
  field_reader Fields(Json);
  account_id Account(Fields.text("account"));
  request_id Request(Fields.text("request"));
  std::string Work = Fields.text("work");
  std::uint64_t Tokens = Fields.number("tokens");
  std::uint64_t Cost = Fields.number("cost");
  bill Bill(Account, Request, Work, Tokens, Cost);
  if (Fields.failed())
    return tl::unexpected(Fields.error());
  return Bill;
}
