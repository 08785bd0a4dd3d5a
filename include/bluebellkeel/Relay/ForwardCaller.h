#ifndef BLUEBELLKEEL_RELAY_FORWARDCALLER_H
#define BLUEBELLKEEL_RELAY_FORWARDCALLER_H

#include "bluebellkeel/Core/Time.h"
#include "bluebellkeel/Relay/RefusalReason.h"
#include "bluebellkeel/Relay/ResponseHead.h"
#include <string>
#include <string_view>

namespace bluebellkeel {

/// The caller of one request. Each call waits until the bytes are on their way
/// and returns false when the caller is gone.
class forward_caller {
public:
  virtual ~forward_caller() = default;

  /// An answer of an upstream, whole.
  virtual bool answer(const response_head &Head, const std::string &Body) = 0;
  /// The start of an answer that goes on with write() and end().
  virtual bool begin(const response_head &Head) = 0;
  virtual bool write(std::string_view Piece) = 0;
  virtual bool end() = 0;
  /// Ends a begun answer so that it does not look whole.
  virtual void abandon() = 0;
  /// An answer of the system's own. \p RetryAfter is zero when coming back
  /// does not help.
  virtual bool refuse(refusal_reason Reason, int Status,
                      milliseconds RetryAfter) = 0;
  /// True once the caller has closed its connection.
  virtual bool gone() const = 0;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_RELAY_FORWARDCALLER_H
