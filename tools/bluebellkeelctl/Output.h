#ifndef TOOLS_BLUEBELLKEELCTL_OUTPUT_H
#define TOOLS_BLUEBELLKEELCTL_OUTPUT_H

#include "AdminReply.h"
#include <string>

namespace bluebellkeel {

/// Prints the results of commands as text or as JSON.
class output {
public:
  explicit output(bool Json) : Json(Json) {}

  /// Prints \p Reply and returns its exit code. In text output, the field
  /// \p ListName is printed with one line per element, and errors go to
  /// standard error.
  int show(const admin_reply &Reply, const std::string &ListName) const;
  /// Prints a line of text, or a JSON object with the field `message`.
  void printMessage(const std::string &Message) const;
  /// Prints \p Message to standard error, after the name of the program.
  void printError(const std::string &Message) const;

private:
  void showAsText(const nlohmann::json &Value,
                  const std::string &ListName) const;
  void showError(const admin_reply &Reply) const;

  bool Json;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_OUTPUT_H
