#ifndef TOOLS_BLUEBELLKEELCTL_OUTPUT_H
#define TOOLS_BLUEBELLKEELCTL_OUTPUT_H

#include "AdminReply.h"
#include <string>

namespace bluebellkeel {

/// Prints what a command found: for people, or as JSON.
class output {
public:
  explicit output(bool Json) : Json(Json) {}

  /// Prints \p Reply; \p ListName names the array that people want as a table.
  int show(const admin_reply &Reply, const std::string &ListName) const;
  /// Prints one line for people, or an object with `message`.
  void printMessage(const std::string &Message) const;
  void printError(const std::string &Message) const;

private:
  void showAsText(const nlohmann::json &Value,
                  const std::string &ListName) const;
  void showError(const admin_reply &Reply) const;

  bool Json;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_OUTPUT_H
