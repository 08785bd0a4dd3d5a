#include "bluebellkeel/Policy/SessionCodec.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include <vector>

using namespace bluebellkeel;

/// Returns the signed part of a token. The prefix separates session signatures
/// from other uses of the same key.
static std::string signedPayload(const session &Session) {
  return absl::StrCat("s1|", Session.account().text(), "|",
                      Session.version().text());
}

std::string session_codec::encode(const session &Session) const {
  std::string Part = signedPayload(Session);
  return absl::StrCat(Part, "|", Signer.sign(Part));
}

std::optional<session> session_codec::decode(const std::string &Text) const {
  constexpr std::size_t PartCount = 4;
  std::vector<std::string> Parts = absl::StrSplit(Text, '|');
  if (Parts.size() != PartCount)
    return std::nullopt;
  session Session{account_id(Parts[1]), version_id(Parts[2])};
  std::string Part = signedPayload(Session);
  if (Text.compare(0, Part.size(), Part) != 0)
    return std::nullopt;
  if (!Signer.verify(Part, Parts[3]))
    return std::nullopt;
  return Session;
}
