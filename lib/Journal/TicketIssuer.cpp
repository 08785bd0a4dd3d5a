#include "bluebellkeel/Journal/TicketIssuer.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include <vector>

using namespace bluebellkeel;

/// Largest accepted difference between the wall clocks of instances.
static constexpr seconds MaxClockSkew{30};

static std::int64_t toMillis(wall_time Time) {
  return std::chrono::duration_cast<milliseconds>(Time.time_since_epoch())
      .count();
}

/// Returns the text that the signature covers. The prefix separates signatures
/// of tickets from other uses of the same key.
static std::string signedPart(const ticket &Ticket) {
  return absl::StrCat("t1|", Ticket.id(), "|", Ticket.account().text(), "|",
                      toMillis(Ticket.issuedAt()), "|",
                      Ticket.issueOffset().value());
}

ticket ticket_issuer::issue(const account_id &Account, log_offset IssueOffset) {
  auto Now = std::chrono::time_point_cast<milliseconds>(Clock.wallNow());
  return ticket(Random.hexToken(), Account, Now, IssueOffset);
}

std::string ticket_issuer::encode(const ticket &Ticket) const {
  std::string Part = signedPart(Ticket);
  return absl::StrCat(Part, "|", Signer.sign(Part));
}

std::optional<ticket> ticket_issuer::decode(const std::string &Text) const {
  std::vector<std::string> Parts = absl::StrSplit(Text, '|');
  constexpr std::size_t PartCount = 6;
  std::int64_t Millis = 0;
  std::uint64_t IssueOffset = 0;
  if (Parts.size() != PartCount)
    return std::nullopt;
  if (!absl::SimpleAtoi(Parts[3], &Millis))
    return std::nullopt;
  if (!absl::SimpleAtoi(Parts[4], &IssueOffset))
    return std::nullopt;
  ticket Ticket(Parts[1], account_id(Parts[2]), wall_time(milliseconds(Millis)),
                log_offset(IssueOffset));
  std::string Part = signedPart(Ticket);
  if (Text.compare(0, Part.size(), Part) != 0)
    return std::nullopt;
  if (!Signer.verify(Part, Parts[5]))
    return std::nullopt;
  return Ticket;
}

bool ticket_issuer::expired(const ticket &Ticket) const {
  wall_time Now = Clock.wallNow();
  if (Ticket.issuedAt() > Now + MaxClockSkew)
    return true;
  return Now - Ticket.issuedAt() > Lifetime;
}
