#ifndef BLUEBELLKEEL_POLICY_REQUESTSUCCESS_H
#define BLUEBELLKEEL_POLICY_REQUESTSUCCESS_H

#include "bluebellkeel/Core/Comparable.h"
#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Policy/Fingerprint.h"
#include <tuple>

namespace bluebellkeel {

/// The latest complete answer to a request that crashes had been attributed to.
class request_success : public comparable<request_success> {
public:
  /// \param Age time since the answer was complete.
  request_success(fingerprint Request, milliseconds Age)
      : Request(std::move(Request)), Age(Age) {}

  const fingerprint &request() const { return Request; }
  milliseconds age() const { return Age; }
  auto key() const { return std::tie(Request, Age); }

private:
  fingerprint Request;
  milliseconds Age;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_REQUESTSUCCESS_H
