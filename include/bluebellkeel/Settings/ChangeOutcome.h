#ifndef BLUEBELLKEEL_SETTINGS_CHANGEOUTCOME_H
#define BLUEBELLKEEL_SETTINGS_CHANGEOUTCOME_H

#include "bluebellkeel/Core/LogOffset.h"
#include "bluebellkeel/Settings/SettingsError.h"
#include <string>
#include <tuple>
#include <vector>

namespace bluebellkeel {

/// The outcome of one settings change; the same on every instance.
class change_outcome : public comparable<change_outcome> {
public:
  enum class verdict { Accepted, Conflict, Forbidden, Invalid };

  change_outcome(std::string ChangeId, log_offset Offset, verdict Verdict,
                 std::string Winner, std::vector<settings_error> Errors)
      : ChangeId(std::move(ChangeId)), Offset(Offset), Verdict(Verdict),
        Winner(std::move(Winner)), Errors(std::move(Errors)) {}

  const std::string &changeId() const { return ChangeId; }
  log_offset offset() const { return Offset; }
  verdict result() const { return Verdict; }
  bool accepted() const { return Verdict == verdict::Accepted; }
  /// Returns the id of the accepted change that this change conflicts with;
  /// empty unless the verdict is Conflict.
  const std::string &winner() const { return Winner; }
  const std::vector<settings_error> &errors() const { return Errors; }
  auto key() const {
    return std::tie(ChangeId, Offset, Verdict, Winner, Errors);
  }

private:
  std::string ChangeId;
  log_offset Offset;
  verdict Verdict;
  std::string Winner;
  std::vector<settings_error> Errors;
};

} // namespace bluebellkeel

#endif // BLUEBELLKEEL_SETTINGS_CHANGEOUTCOME_H
