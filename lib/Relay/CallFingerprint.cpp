#include "bluebellkeel/Relay/CallFingerprint.h"
#include "bluebellkeel/Core/StableHash.h"

using namespace bluebellkeel;

fingerprint bluebellkeel::fingerprintOf(const forward_call &Call,
                                        const account_id &Account) {
  // The lengths keep the end of one field apart from the start of the next.
  std::string Lengths;
  for (const std::string *Field :
       {&Call.method(), &Call.host(), &Call.target(), &Account.text()})
    Lengths += std::to_string(Field->size()) + ",";
  return fingerprint(std::to_string(
      stableHashOfParts({Lengths, Call.method(), Call.host(), Call.target(),
                         Account.text(), Call.body()})));
}
