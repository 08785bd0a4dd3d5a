#ifndef UTILS_CALLER_REQUESTRESULT_H
#define UTILS_CALLER_REQUESTRESULT_H

#include "RequestOutcome.h"
#include <string>

namespace bluebellkeel {

/// Result of one request as seen by its caller.
struct request_result {
  request_outcome End = request_outcome::Cut;
  /// Code of the error body or of the transport error; may be empty.
  std::string Reason;
  /// Content of a chat, or body of a service response.
  std::string Text;
  std::string Version;
  std::string Session;
};

} // namespace bluebellkeel

#endif // UTILS_CALLER_REQUESTRESULT_H
