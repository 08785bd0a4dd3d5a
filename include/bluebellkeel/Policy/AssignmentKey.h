#ifndef BLUEBELLKEEL_POLICY_ASSIGNMENTKEY_H
#define BLUEBELLKEEL_POLICY_ASSIGNMENTKEY_H

#include "bluebellkeel/Core/Comparable.h"
#include <string>
#include <tuple>

namespace bluebellkeel {

/// Key by which a request is assigned to a version during a roll-out. Requests
/// with the same key get the same version as long as the share is constant.
class assignment_key : public comparable<assignment_key> {
public:
  static assignment_key ofSession(std::string Session) {
    return {std::move(Session), true};
  }
  /// For a request that belongs to no session.
  static assignment_key ofRequest(std::string Request) {
    return {std::move(Request), false};
  }

  const std::string &text() const { return Text; }
  /// True if other requests with this key may have run before.
  bool hasSession() const { return HasSession; }
  auto key() const { return std::tie(Text, HasSession); }

private:
  assignment_key(std::string Text, bool HasSession)
      : Text(std::move(Text)), HasSession(HasSession) {}

  std::string Text;
  bool HasSession;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_POLICY_ASSIGNMENTKEY_H
