#ifndef TOOLS_BLUEBELLKEELCTL_SETTINGSCOMMANDS_H
#define TOOLS_BLUEBELLKEELCTL_SETTINGSCOMMANDS_H

#include "AdminClient.h"
#include "Output.h"
#include <optional>
#include <string>
#include <vector>

namespace bluebellkeel {

/// The commands that read and change settings. Each prints its result and
/// returns the exit code. With DryRun, a change is only validated.
class settings_commands {
public:
  settings_commands(const admin_client &Client, const output &Output,
                    std::optional<std::uint64_t> Base, std::string ChangeId)
      : Client(Client), Output(Output), Base(Base),
        ChangeId(std::move(ChangeId)) {}

  int get(const std::string &Path) const;
  int put(const std::string &Path, const std::string &Value, bool DryRun) const;
  int remove(const std::string &Path) const;
  /// Submits all settings in \p File, a JSON object that maps paths to values,
  /// as one change.
  int putFile(const std::string &File, bool DryRun) const;
  /// Prints the settings in \p File that differ from the current ones.
  int diff(const std::string &File) const;
  int history() const;

  /// Sets \p Field of version \p Version in the team's own subtree.
  int putVersion(const std::string &Version, const std::string &Field,
                 const std::string &Value) const;

private:
  using edit_list = nlohmann::json;

  int change(const edit_list &Edits, bool DryRun) const;
  std::optional<nlohmann::json> readFile(const std::string &File) const;

  const admin_client &Client;
  const output &Output;
  std::optional<std::uint64_t> Base;
  std::string ChangeId;
};

} // namespace bluebellkeel

#endif // TOOLS_BLUEBELLKEELCTL_SETTINGSCOMMANDS_H
