#include "bluebellkeel/Relay/ChatFingerprint.h"
#include "absl/strings/str_cat.h"
#include "bluebellkeel/Core/StableHash.h"

using namespace bluebellkeel;

fingerprint bluebellkeel::chatFingerprint(const account_id &Account,
                                          std::string_view Body) {
  const std::string Length = std::to_string(Account.text().size()) + ",";
  return fingerprint(absl::StrCat(absl::Hex(
      stableHashOfParts({Length, Account.text(), Body}), absl::kZeroPad16)));
}
